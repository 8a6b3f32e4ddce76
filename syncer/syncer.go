// Package syncer distributes the configuration, the rollouts and the list of
// upstreams from the leader of the control group to the hosts that serve
// callers, and collects their statistics.
//
// Each host long-polls the leader, one call at a time; a control host that does
// not lead returns the leader's address. Documents and lists are encoded once for
// all hosts and sent in parts, each by a call of its own, so that a slow link
// delays but never prevents them and their size does not hold up other calls.
// Package relayer does the same for the hosts of package hoster, through relays
// in each zone; package sharer exchanges upstream loads over UDP.
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
	"foxtailwall/isolator"
	"foxtailwall/messenger"
	"foxtailwall/placer"
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
		// Cold is the newest ColdTimes.Version that the host has, at least NoColdVersion;
		// zero, from hosts of an earlier release, means that it needs none at once.
		Cold int64 `cbor:"cold,omitempty"`
		// Outages are the upstreams of services with cold upstreams that the host could
		// not reach lately.
		Outages []placer.Outage `cbor:"outages,omitempty"`
		// Leaving says that the host stops soon and takes few requests.
		Leaving bool `cbor:"leaving,omitempty"`
		// Delegated is the address at which the host takes requests of other hosts,
		// invalid if it takes none. Partitioned says that it reaches no upstream.
		Delegated   netip.AddrPort `cbor:"delegated,omitzero"`
		Partitioned bool           `cbor:"partitioned,omitempty"`
		// Brittle are the services of which an upstream has told the host that it falls
		// over if it must turn too many requests away.
		Brittle []string `cbor:"brittle,omitempty"`
		// Wait is how long the leader may wait for changes, at most 5 s.
		Wait time.Duration `cbor:"wait"`
		// Counts are the answers since the start of the process.
		Counts []AnswerCount `cbor:"counts,omitempty"`
		// Running is the number of requests under way on versions other than
		// the target, by service with a running rollout.
		Running map[string]int `cbor:"running,omitempty"`
		// Excluded has one element for each running rollout.
		Excluded []ExcludedSessions `cbor:"kept,omitempty"`

		// Evidence is about prompt parts and requests that may crash upstreams.
		Evidence isolator.Evidence `cbor:"evidence,omitempty"`

		// PartBytes is the largest part that the host accepts. Zero, from hosts of
		// an earlier release, requests whole documents and lists. Client sets it and
		// the fields below.
		PartBytes int `cbor:"partBytes,omitempty"`
		// Document is the version of the document that the host has.
		Document uint64 `cbor:"document,omitempty"`
		// Partial is what the host has received of a document or a list.
		Partial *Partial `cbor:"partial,omitempty"`
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
		Hosts int `cbor:"hosts"`
		// Position is this host's position among them by name, from 1; 0 while the
		// leader may not know all of them.
		Position int `cbor:"position,omitempty"`
		// Neighbours is the number of other live hosts in the zone of this host that do
		// not leave.
		Neighbours int `cbor:"neighbours,omitempty"`
		// Helpers are the addresses of hosts that take requests of this host while it
		// reaches no upstream.
		Helpers []netip.AddrPort `cbor:"helpers,omitempty"`
		// Brittle are the services that any live host has reported as brittle.
		Brittle []string `cbor:"brittle,omitempty"`
		// Published lacks the document's body if the host has it, or receives its
		// last part with this answer.
		Published *controller.Published `cbor:"published,omitempty"`
		// Part is the next part of a document or a list.
		Part *Part `cbor:"part,omitempty"`
		// Upstreams is the whole list, for hosts without a list that Change
		// applies to.
		Upstreams *List   `cbor:"upstreams,omitempty"`
		Change    *Change `cbor:"change,omitempty"`
		// ListAge is the time since the leader last read the list of upstreams,
		// negative if it never has.
		ListAge time.Duration `cbor:"listAge"`
		// Cold has the cold upstreams of the list that the leader last read, nil from
		// control hosts of an earlier release and if none was read.
		Cold *ColdTimes `cbor:"cold,omitempty"`
		// Turn rotates the ranks of the hosts that send to cold upstreams.
		Turn int `cbor:"turn,omitempty"`
		// Outages are those that any host has reported.
		Outages []placer.Outage `cbor:"outages,omitempty"`
		// Suspects are the prompt parts and requests of which the host should report
		// the last success.
		Suspects []controller.PromptPart `cbor:"suspects,omitempty"`
		// Excluded are the sessions that only other hosts have reported.
		Excluded []ExcludedSessions `cbor:"kept,omitempty"`
	}
)

// Handle registers the procedure that Client calls.
func Handle(m *messenger.Mux, h *Hub) {
	// Parts are compressed once for all hosts.
	messenger.Handle(m, procedure, func(ctx context.Context, r *Report) (*Update, error) {
		return h.Watch(ctx, r), nil
	}, messenger.WithoutCompression())
}
