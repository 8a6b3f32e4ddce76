// Package sharer exchanges upstream loads between the hosts that serve callers:
// each learns over UDP how much work the others have under way at the
// upstreams. Configuration and lists go through package syncer.
//
// Every host sends its loads to the leader of the control group several times a
// second, and the leader answers with the sum over all other hosts. An engine
// processes a prompt within some hundred milliseconds, so older figures would
// mislead. Each datagram is complete, so the next one makes up for a lost one.
// Loads also say when data last arrived from an upstream, so that a host with a
// single request there can tell a busy upstream from a silent one, and hosts
// tell each other which upstreams were sent which prompt prefixes, which could
// not be reached and which have named a rate limit. All of it only guides
// placement and patience: between hosts of different versions that cannot read
// each other's datagrams, each goes by its own requests.
//
// # Usage
//
//	// At control hosts:
//	hub := sharer.NewHub(sharer.HubSettings{Leading: leading, Clock: clock})
//	err := sharer.Serve(ctx, conn, hub, sharer.ServeOptions{Log: log, Scope: scope})
//
//	// At hosts that serve callers:
//	c := sharer.NewClient(sharer.ClientSettings{Host: "a1", Leader: leader, Loads: loads, Apply: apply, Clock: clock})
//	err := c.Run(ctx)
package sharer

import (
	"cmp"
	"slices"
	"time"

	"foxtailwall/placer"
	"foxtailwall/serializer"
)

const (
	// maxLoads bounds the loads in a datagram, so that it fits into one packet
	// of a common network. The loads with the most work are sent.
	maxLoads = 100
	// maxPlacements bounds the placements in a datagram.
	maxPlacements = 100
	// maxUnreachable bounds the unreachable upstreams in a datagram.
	maxUnreachable = 64
	// maxDatagram is the size in bytes of the receive buffers.
	maxDatagram = 6 << 10
	// receivedUnit is the unit of load.SinceReceived, and maxSinceReceived the largest number that
	// takes a single byte.
	receivedUnit     = 100 * time.Millisecond
	maxSinceReceived = 23
)

type (
	// report is the datagram from a host to the leader.
	report struct {
		_    struct{} `cbor:",toarray"`
		Host string
		// Started distinguishes the runs of a host, in Unix nanoseconds.
		Started int64
		// Count is the sequence number of the report within the run, from 1.
		Count uint64
		Loads []load
		// Placements are the host's own since its last report. Known is the
		// answer.Known of the newest answer received.
		Placements []placer.Placement
		Known      uint64
		// Unreachable are the upstreams that the host could not reach since its last
		// report.
		Unreachable []placer.Unreachable
		// Limits are the rate limits that the host has received from upstreams.
		Limits []limit
	}

	// answer is the datagram from the leader to a host.
	answer struct {
		_ struct{} `cbor:",toarray"`
		// Count is the sequence number of the report that is answered.
		Count uint64
		Loads []load
		// Placements are those of all hosts since report.Known, and Known the
		// position of the last one.
		Placements []placer.Placement
		Known      uint64
		// Unreachable are the upstreams that any host could not reach within
		// unreachableTTL.
		Unreachable []placer.Unreachable
		// Limits are the newest rate limits that any host has received.
		Limits []limit
	}

	// load is the encoding of a placer.Load.
	load struct {
		_        struct{} `cbor:",toarray"`
		Upstream uint32
		Running  uint32
		Work     uint32
		// SinceReceived is the time since data last arrived from the upstream, in units of
		// receivedUnit and at most maxSinceReceived.
		SinceReceived uint8
	}
)

// toWire converts the loads with the most work, at most maxLoads.
func toWire(loads []placer.Load) []load {
	if len(loads) > maxLoads {
		loads = slices.Clone(loads)
		slices.SortFunc(loads, func(a, b placer.Load) int { return cmp.Compare(b.Work, a.Work) })
		loads = loads[:maxLoads]
	}
	out := make([]load, len(loads))
	for i, l := range loads {
		since := uint8(min(max(l.SinceReceived, 0)/receivedUnit, maxSinceReceived))
		out[i] = load{Upstream: l.Upstream, Running: l.Running, Work: l.Work, SinceReceived: since}
	}
	return out
}

func fromWire(loads []load) []placer.Load {
	out := make([]placer.Load, len(loads))
	for i, l := range loads {
		out[i] = placer.Load{
			Upstream: l.Upstream, Running: l.Running, Work: l.Work, SinceReceived: time.Duration(l.SinceReceived) * receivedUnit,
		}
	}
	return out
}

// encode cannot fail for the types of this package.
func encode(v any) []byte {
	b, err := serializer.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
