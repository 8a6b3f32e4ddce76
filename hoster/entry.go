package hoster

import (
	"context"
	"crypto/tls"

	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/pinner"
	"foxtailwall/router"
	"foxtailwall/server"
)

// entry is the part of a host that takes callers' requests.
type entry struct {
	host      *Host
	dialer    *dialer.Dialer
	server    *server.Server
	callerTLS *tls.Config
}

// buildEntry assembles the request path, if this host has one.
func (h *Host) buildEntry() error {
	if !h.set.Entry {
		return nil
	}
	e := &entry{host: h}
	e.dialer = dialer.New(dialer.Options{Clock: h.clock, Scope: h.scope, Dial: h.opts.Dial})
	r := router.New(router.Options{
		Host: h.set.Name, Zone: h.set.Zone, Clock: h.clock, Scope: h.scope,
		Views: h.views, Upstreams: e.dialer, Claims: h.client, Pins: h.client, Bills: h.bills,
		Signer: signer{},
	})
	var err error
	e.server, err = server.New(server.Options{
		Clock: h.clock, Scope: h.scope, Views: h.views, Router: r,
		OperatorDigest: declarer.KeyDigest(h.set.OperatorKeys[0]), Print: declarer.Print,
		DrainTimeout: h.set.Drain, Grace: h.set.Grace,
	})
	h.entry = e
	return err
}

func (e *entry) serveCallers(context.Context) error {
	l, err := e.host.listen("callers", e.host.set.Callers)
	if err != nil {
		return err
	}
	return e.server.ServeCallers(l, e.callerTLS)
}

func (e *entry) serveOperators(context.Context) error {
	l, err := e.host.listen("operators", e.host.set.Operators)
	if err != nil {
		return err
	}
	return e.server.ServeOperators(l, nil)
}

type signer struct{}

func (signer) Sign(pinner.Pin) (string, error)   { return "", nil }
func (signer) Verify(string) (pinner.Pin, error) { return pinner.Pin{}, nil }
