package hoster

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/pinner"
	"foxtailwall/router"
	"foxtailwall/server"
)

// entry is the part of a host that takes callers' requests.
type entry struct {
	set       *Settings
	dialer    *dialer.Dialer
	server    *server.Server
	callerTLS *tls.Config
}

// buildEntry assembles the request path, if this host has one.
func (h *Host) buildEntry() error {
	if !h.set.Entry {
		return nil
	}
	e := &entry{set: &h.set}
	e.dialer = dialer.New(dialer.Options{Clock: h.clock, Scope: h.scope})
	r := router.New(router.Options{
		Host: h.set.Name, Zone: h.set.Zone, Clock: h.clock, Scope: h.scope,
		Views: h.views, Upstreams: e.dialer, Claims: h.client, Pins: h.client, Bills: h.bills,
		Signer: signer{},
	})
	var err error
	e.server, err = server.New(server.Options{
		Clock: h.clock, Scope: h.scope, Views: h.views, Router: r,
		OperatorDigest: declarer.KeyDigest(h.set.OperatorKeys[0]), Print: declarer.Print,
		DrainTimeout: h.set.Drain,
	})
	h.entry = e
	return err
}

func (e *entry) serveCallers(context.Context) error {
	l, err := listen("callers", e.set.Callers)
	if err != nil {
		return err
	}
	return e.server.ServeCallers(l, e.callerTLS)
}

func (e *entry) serveOperators(context.Context) error {
	l, err := listen("operators", e.set.Operators)
	if err != nil {
		return err
	}
	return e.server.ServeOperators(l, nil)
}

func listen(setting string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, &SettingError{Setting: setting, Value: addr.String(), Allowed: "a free address of this host: " + err.Error()}
	}
	return l, nil
}

type signer struct{}

func (signer) Sign(pinner.Pin) (string, error)   { return "", nil }
func (signer) Verify(string) (pinner.Pin, error) { return pinner.Pin{}, nil }
