// Package sharer tells each host that serves callers how much work the other
// hosts have under way at the upstreams.
//
// Every host sends its own loads to the leader of the control group several
// times a second, and gets in return the sum of those of all other hosts.
// What a prompt costs an engine is over within some hundred milliseconds, so
// that older news would do harm. Datagrams are used for this: each carries
// everything that its sender knows, so that a lost one is made good by the
// next. Loads are advice for placement; nothing else rests on them.
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

	"foxtailwall/placer"
	"foxtailwall/serializer"
)

const (
	// maxLoads bounds the loads of a datagram, so that it fits into one packet
	// of a common network. Those with the most work are told.
	maxLoads = 100
	// maxDatagram is the size in bytes of the buffers for datagrams.
	maxDatagram = 4 << 10
)

type (
	// report is what a host sends.
	report struct {
		_    struct{} `cbor:",toarray"`
		Host string
		// Started tells the starts of a host apart, in Unix nanoseconds.
		Started int64
		// Count numbers the reports of a start.
		Count uint64
		Loads []load
	}

	// answer is what the leader answers.
	answer struct {
		_ struct{} `cbor:",toarray"`
		// Count is that of the report.
		Count uint64
		Loads []load
	}

	// load is a placer.Load.
	load struct {
		_        struct{} `cbor:",toarray"`
		Upstream uint32
		Running  uint32
		Work     uint32
	}
)

// toWire returns the heaviest loads, as many as fit.
func toWire(loads []placer.Load) []load {
	if len(loads) > maxLoads {
		loads = slices.Clone(loads)
		slices.SortFunc(loads, func(a, b placer.Load) int { return cmp.Compare(b.Work, a.Work) })
		loads = loads[:maxLoads]
	}
	out := make([]load, len(loads))
	for i, l := range loads {
		out[i] = load{Upstream: l.Upstream, Running: l.Running, Work: l.Work}
	}
	return out
}

func fromWire(loads []load) []placer.Load {
	out := make([]placer.Load, len(loads))
	for i, l := range loads {
		out[i] = placer.Load{Upstream: l.Upstream, Running: l.Running, Work: l.Work}
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
