// Package delegator chooses the host to which this host passes a request that it
// cannot send to an upstream itself. Package forwarder passes the request on, and
// package relayer distributes configurations.
//
// The leader of the control group names a few hosts that reach upstreams. Of those,
// the one with the fewest requests of this host is chosen. A host that has refused a
// request or could not be reached is left out for a while.
//
// # Usage
//
//	var p delegator.Pool
//	p.Clock = clock
//	p.Update(addresses)
//	t, ok := p.Pick(tried)
//	if ok {
//		defer t.Done(delegator.Answered)
//		send(t.Address())
//	}
package delegator

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

// Outcomes of passing a request to a host.
const (
	// Answered means that the host has taken the request.
	Answered Outcome = iota
	// Refused means that the host did not send the request to an upstream.
	Refused
	// Unreached means that the host could not be reached, or broke off.
	Unreached
)

const (
	// refusedPause is how long a host that has refused a request is left out; the
	// leader names another one by then if the host reaches no upstream.
	refusedPause = 100 * time.Millisecond
	// unreachedPause is how long a host that could not be reached is left out.
	unreachedPause = time.Second
)

type (
	// Outcome says how passing a request to a host ended.
	Outcome uint8

	// Pool holds the hosts to which requests may be passed. Its zero value, with a
	// clock, has none. It is safe for concurrent use.
	Pool struct {
		Clock timekeeper.Clock

		mu    sync.Mutex
		hosts []*host
		picks int
	}

	host struct {
		address netip.AddrPort
		// running is the number of this host's requests there, and lastPick the number
		// of the latest one among all.
		running, lastPick int
		pausedUntil       time.Time
	}

	// Ticket is a request that is passed to a host. It must be ended with Done.
	Ticket struct {
		pool *Pool
		host *host
		done bool
	}
)

// Update replaces the hosts. The state of those that remain is kept.
func (p *Pool) Update(addresses []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]*host, 0, len(addresses))
	for _, a := range addresses {
		i := slices.IndexFunc(p.hosts, func(h *host) bool { return h.address == a })
		if i >= 0 {
			hosts = append(hosts, p.hosts[i])
		} else {
			hosts = append(hosts, &host{address: a})
		}
	}
	p.hosts = hosts
}

// Pick chooses a host that is not among tried; ok is false if there is none.
func (p *Pool) Pick(tried []netip.AddrPort) (t *Ticket, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var best *host
	for _, h := range p.hosts {
		if now.Before(h.pausedUntil) || slices.Contains(tried, h.address) {
			continue
		}
		if best == nil || h.running < best.running || h.running == best.running && h.lastPick < best.lastPick {
			best = h
		}
	}
	if best == nil {
		return nil, false
	}
	p.picks++
	best.running++
	best.lastPick = p.picks
	return &Ticket{pool: p, host: best}, true
}

// Address returns the address at which the host takes requests of other hosts.
func (t *Ticket) Address() netip.AddrPort { return t.host.address }

// Done ends the request. Only the first call has an effect.
func (t *Ticket) Done(o Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.host.running--
	now := t.pool.Clock.Now()
	switch o {
	case Refused:
		t.host.pausedUntil = now.Add(refusedPause)
	case Unreached:
		t.host.pausedUntil = now.Add(unreachedPause)
	case Answered:
	}
}
