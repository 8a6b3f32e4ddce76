package syncer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

const (
	// answerSlack is how much longer than asked for a call may take before the
	// control host counts as unreachable.
	answerSlack = 350 * time.Millisecond
	// firstRetry and lastRetry are the pauses after failed calls.
	firstRetry = 30 * time.Millisecond
	lastRetry  = 300 * time.Millisecond
)

type (
	// ClientSettings configures a Client.
	ClientSettings struct {
		// Seeds returns addresses of control hosts.
		Seeds func() []netip.AddrPort
		// Report returns what this host says of itself.
		Report func() Report
		// Apply takes over what the leader told.
		Apply func(*Update)
		Clock timekeeper.Clock
		Log   zerolog.Logger
		// Call reaches a control host; nil calls over messenger.
		Call func(ctx context.Context, to netip.AddrPort, r *Report) (*Update, error)
	}

	// Client keeps one call at the leader. Make it with NewClient.
	Client struct {
		set   ClientSettings
		peers map[netip.AddrPort]*messenger.Peer
		// list is the newest list that the leader told.
		list List

		mu     sync.Mutex
		leader netip.AddrPort
		others []netip.AddrPort
	}
)

// NewClient returns a client that knows no leader.
func NewClient(s ClientSettings) *Client {
	c := &Client{set: s, peers: make(map[netip.AddrPort]*messenger.Peer)}
	if c.set.Call == nil {
		c.set.Call = c.call
	}
	return c
}

// Leader returns the address of the leader, invalid if none is known.
func (c *Client) Leader() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Run calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	retry := firstRetry
	for next := 0; ctx.Err() == nil; {
		to, ok := c.target(next)
		if ok && c.ask(ctx, to) {
			retry, next = firstRetry, 0
			continue
		}
		next++
		if timekeeper.Sleep(ctx, c.set.Clock, retry) != nil {
			return
		}
		retry = min(retry*3/2, lastRetry)
	}
}

// target returns the control host to ask: the leader first, then all others by
// turns.
func (c *Client) target(n int) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.leader.IsValid() {
		return c.leader, true
	}
	all := slices.Concat(c.set.Seeds(), c.others)
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	return all[n%len(all)], true
}

// ask makes one call and reports whether to went well.
func (c *Client) ask(ctx context.Context, to netip.AddrPort) bool {
	r := c.set.Report()
	if r.List != c.list.Name {
		// No change can be applied; the whole list is asked for.
		r.List = ""
	}
	if r.Wait == 0 {
		r.Wait = DefaultWait
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait+answerSlack)
	defer cancel()
	u, err := c.set.Call(ctx, to, &r)
	if err != nil {
		c.lost(to, err)
		return false
	}
	return c.take(to, u)
}

func (c *Client) take(to netip.AddrPort, u *Update) bool {
	if u.Leads {
		c.takeList(u)
		c.set.Apply(u)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(u.Members) > 0 {
		c.others = u.Members
	}
	if !u.Leads {
		// The leader is asked at once if it is another host.
		known := u.Leader.IsValid() && u.Leader != to && u.Leader != c.leader
		c.leader = u.Leader
		return known
	}
	if c.leader != to {
		c.set.Log.Info().Stringer("leader", to).Msg("connected to the leader of the control group")
	}
	c.leader = to
	return true
}

// takeList keeps the list that the leader told, and puts the whole list into the
// update where the leader told a change.
func (c *Client) takeList(u *Update) {
	switch {
	case u.Upstreams != nil:
		c.list = *u.Upstreams
	case u.Change != nil && u.Change.From == c.list.Name:
		c.list = u.Change.apply(c.list)
	case u.Change != nil:
		c.set.Log.Error().Str("from", u.Change.From).Str("list", c.list.Name).Msg("the leader told a change of another list")
		return
	default:
		return
	}
	// Apply may reorder and change the list.
	u.Upstreams = &List{Name: c.list.Name, Upstreams: slices.Clone(c.list.Upstreams)}
}

// lost forgets the leader if the call went to it.
func (c *Client) lost(to netip.AddrPort, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != to {
		return
	}
	c.set.Log.Info().Stringer("leader", to).AnErr("cause", err).Msg("lost the leader of the control group")
	c.leader = netip.AddrPort{}
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, r *Report) (*Update, error) {
	p := c.peers[to]
	if p == nil {
		p = messenger.NewPeer(to, nil)
		c.peers[to] = p
	}
	u, err := messenger.Call[Report, Update](ctx, p, procedure, r)
	if err != nil {
		// The connection may have gone silent; the next call opens another.
		p.Close()
		delete(c.peers, to)
	}
	return u, err
}
