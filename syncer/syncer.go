// Package syncer tells the hosts that serve callers what is in force: the
// configuration, the ordered rollouts and the list of upstreams. In return the
// leader of the control group learns how answers were.
//
// A host asks the leader for what it does not have yet; the leader answers as
// soon as there is something, or after a while with nothing. One call is under
// way for each host. A control host that does not lead names the leader.
//
// # Usage
//
//	hub := syncer.NewHub(syncer.HubSettings{Source: source, Clock: clock})
//	syncer.Handle(mux, hub)
//
//	c := syncer.NewClient(syncer.ClientSettings{Seeds: seeds, Report: report, Apply: apply, Clock: clock})
//	c.Run(ctx)
package syncer

import (
	"context"
	"net/netip"
	"time"

	"foxtailwall/controller"
	"foxtailwall/messenger"
	"foxtailwall/stager"
)

const (
	procedure = "sync/watch"
	// DefaultWait is how long the leader lets a call wait for news. It is also
	// how often a host reports.
	DefaultWait = 400 * time.Millisecond
	// hostLife is how long after its last report a host counts as alive.
	hostLife = 3 * time.Second
)

type (
	// Report is what a host says of itself, and what it has.
	Report struct {
		Host string `cbor:"host"`
		Zone string `cbor:"zone"`
		// Started tells the starts of a host apart, in Unix nanoseconds.
		Started int64 `cbor:"started"`
		// Published is the version and List the name of the list that the host
		// has.
		Published uint64        `cbor:"published"`
		List      string        `cbor:"list"`
		Wait      time.Duration `cbor:"wait"`
		// Counts are the answers since the start of the host.
		Counts []Counted `cbor:"counts,omitempty"`
		// Running is, for each service that is rolled out, the number of
		// requests under way on other versions than the target.
		Running map[string]int `cbor:"running,omitempty"`
		// Kept are the sessions that stay on another version in a trial.
		Kept []Kept `cbor:"kept,omitempty"`
	}

	// Kept are the sessions drawn for the trial of a rollout that run on
	// another version.
	Kept struct {
		Service  string   `cbor:"service"`
		Target   string   `cbor:"target"`
		Sessions []uint64 `cbor:"sessions"`
	}

	// Counted is a line with its count.
	Counted struct {
		Line  stager.Line  `cbor:"line"`
		Count stager.Count `cbor:"count"`
	}

	// Update is what a host is told.
	Update struct {
		// Leads says that the answer comes from the leader; otherwise only
		// Leader and Members are set.
		Leads   bool             `cbor:"leads"`
		Leader  netip.AddrPort   `cbor:"leader"`
		Members []netip.AddrPort `cbor:"members,omitempty"`
		// Hosts is the number of live hosts that serve callers.
		Hosts     int                   `cbor:"hosts"`
		Published *controller.Published `cbor:"published,omitempty"`
		// Upstreams is the list, where the host has none that Change leads from.
		Upstreams *List   `cbor:"upstreams,omitempty"`
		Change    *Change `cbor:"change,omitempty"`
		// ListAge is how long ago the leader has read the list of upstreams,
		// below 0 if it never has.
		ListAge time.Duration `cbor:"listAge"`
		// Kept are those of all hosts.
		Kept []Kept `cbor:"kept,omitempty"`
	}
)

// Handle registers the procedure by which hosts reach the hub.
func Handle(m *messenger.Mux, h *Hub) {
	messenger.Handle(m, procedure, func(ctx context.Context, r *Report) (*Update, error) {
		return h.Watch(ctx, r), nil
	})
}
