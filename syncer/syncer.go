// Package syncer distributes the configuration, the rollouts and the list of
// upstreams from the leader of the control group to the hosts that serve
// callers, and collects their statistics.
//
// Each host long-polls the leader, one call at a time; a control host that does
// not lead returns the leader's address. Package relayer does the same for the
// hosts of package hoster, through relays in each zone; package sharer
// exchanges upstream loads over UDP.
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
	// DefaultWait is how long a call waits for changes, and so how often a host
	// reports.
	DefaultWait = 400 * time.Millisecond
	// hostTimeout is how long after its last report a host counts as live.
	hostTimeout = 3 * time.Second
)

type (
	// Report has the statistics of a host and the versions of the state and list
	// that it has.
	Report struct {
		Host string `cbor:"host"`
		Zone string `cbor:"zone"`
		// Started distinguishes the runs of a host, in Unix nanoseconds.
		Started int64 `cbor:"started"`
		// Published and List are the version of the published state and the
		// name of the list that the host has.
		Published uint64 `cbor:"published"`
		List      string `cbor:"list"`
		// Wait is how long the leader may wait for changes, at most 5 s.
		Wait time.Duration `cbor:"wait"`
		// Counts are the answers since the start of the process.
		Counts []AnswerCount `cbor:"counts,omitempty"`
		// Running is the number of requests under way on versions other than
		// the target, by service with a running rollout.
		Running map[string]int `cbor:"running,omitempty"`
		// Excluded has one element for each running rollout.
		Excluded []ExcludedSessions `cbor:"kept,omitempty"`
	}

	// ExcludedSessions are hashes of the sessions that were selected for the
	// trial of a rollout but excluded, because they already use another version.
	ExcludedSessions struct {
		Service  string   `cbor:"service"`
		Target   string   `cbor:"target"`
		Sessions []uint64 `cbor:"sessions"`
	}

	// AnswerCount counts the answers of a version on a route.
	AnswerCount struct {
		Line  stager.CountKey `cbor:"line"`
		Count stager.Count    `cbor:"count"`
	}

	// Update is the answer to a Report: whatever the host does not have yet.
	Update struct {
		// FromLeader says that the answer comes from the leader; otherwise only
		// Leader and Members are set.
		FromLeader bool             `cbor:"leads"`
		Leader     netip.AddrPort   `cbor:"leader"`
		Members    []netip.AddrPort `cbor:"members,omitempty"`
		// Hosts is the number of live hosts that serve callers.
		Hosts     int                   `cbor:"hosts"`
		Published *controller.Published `cbor:"published,omitempty"`
		// Upstreams is the whole list, for hosts without a list that Change
		// applies to.
		Upstreams *List   `cbor:"upstreams,omitempty"`
		Change    *Change `cbor:"change,omitempty"`
		// ListAge is the time since the leader last read the list of upstreams,
		// negative if it never has.
		ListAge time.Duration `cbor:"listAge"`
		// Excluded are the sessions that only other hosts have reported.
		Excluded []ExcludedSessions `cbor:"kept,omitempty"`
	}
)

// Handle registers the procedure that Client calls.
func Handle(m *messenger.Mux, h *Hub) {
	messenger.Handle(m, procedure, func(ctx context.Context, r *Report) (*Update, error) {
		return h.Watch(ctx, r), nil
	})
}
