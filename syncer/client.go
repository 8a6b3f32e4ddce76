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
	// callSlack is how much longer than Report.Wait a call may take before the
	// control host counts as unreachable.
	callSlack = 350 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after failed calls.
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 300 * time.Millisecond
)

type (
	// ClientSettings configures a Client.
	ClientSettings struct {
		// Seeds returns addresses of control hosts.
		Seeds func() []netip.AddrPort
		// Report returns the report of this host; the client sets Wait if it is
		// 0.
		Report func() Report
		// Apply processes an update from the leader and may modify it.
		Apply func(*Update)
		Clock timekeeper.Clock
		Log   zerolog.Logger
		// Call sends a report to a control host; nil uses messenger.
		Call func(ctx context.Context, to netip.AddrPort, r *Report) (*Update, error)
	}

	// Client long-polls the leader of the control group. Make it with
	// NewClient.
	Client struct {
		set   ClientSettings
		peers map[netip.AddrPort]*messenger.Peer
		// list is the newest list that the leader sent.
		list List
		// document is the version of the newest document that the leader sent.
		document uint64
		incoming transfer
		// partBytes is the size of the parts to request. It is halved after a call
		// that failed, since the link may be too slow for the size, and doubled after
		// each part.
		partBytes int

		mu      sync.Mutex
		leader  netip.AddrPort
		members []netip.AddrPort
	}
)

// NewClient returns a client that does not know the leader yet.
func NewClient(s ClientSettings) *Client {
	c := &Client{set: s, peers: make(map[netip.AddrPort]*messenger.Peer), partBytes: maxPartBytes}
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

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	pause := minRetryPause
	for failures := 0; ctx.Err() == nil; {
		to, ok := c.nextTarget(failures)
		if ok && c.poll(ctx, to) {
			pause, failures = minRetryPause, 0
			continue
		}
		failures++
		if timekeeper.Sleep(ctx, c.set.Clock, pause) != nil {
			return
		}
		pause = min(pause*3/2, maxRetryPause)
	}
}

// nextTarget returns the control host to call after the given number of
// consecutive failures: the leader first, then all known control hosts in turn.
func (c *Client) nextTarget(failures int) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failures == 0 && c.leader.IsValid() {
		return c.leader, true
	}
	all := slices.Concat(c.set.Seeds(), c.members)
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	return all[failures%len(all)], true
}

// poll makes one call and reports whether the next one needs no pause.
func (c *Client) poll(ctx context.Context, to netip.AddrPort) bool {
	r := c.set.Report()
	if r.List != c.list.Name {
		// A change could not be applied, so request the whole list.
		r.List = ""
	}
	if r.Wait == 0 {
		r.Wait = DefaultWait
	}
	r.PartBytes, r.Document, r.Partial = c.partBytes, c.document, c.incoming.partial()
	ctx, cancel := context.WithTimeout(ctx, r.Wait+callSlack)
	defer cancel()
	u, err := c.set.Call(ctx, to, &r)
	if err != nil {
		c.partBytes = max(c.partBytes/2, minPartBytes)
		c.forgetLeader(to, err)
		return false
	}
	return c.handleUpdate(to, u)
}

// handleUpdate applies an update and reports whether the next call needs no
// pause.
func (c *Client) handleUpdate(to netip.AddrPort, u *Update) bool {
	if u.FromLeader {
		c.addPart(u)
		c.updateList(u)
		c.set.Apply(u)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(u.Members) > 0 {
		c.members = u.Members
	}
	if !u.FromLeader {
		// Follow a redirect at once, unless it repeats the leader known before.
		redirect := u.Leader.IsValid() && u.Leader != to && u.Leader != c.leader
		c.leader = u.Leader
		return redirect
	}
	if c.leader != to {
		c.set.Log.Info().Stringer("leader", to).Msg("connected to the leader of the control group")
	}
	c.leader = to
	return true
}

// addPart adds the part in an update to the transfer. Once the transfer is
// complete, it sets the body of Published.Document, or Upstreams.
func (c *Client) addPart(u *Update) {
	switch {
	case u.Part != nil:
		c.partBytes = min(c.partBytes*2, maxPartBytes)
		if !c.incoming.add(u.Part) {
			u.Published = nil
			return
		}
		var err error
		if u.Published != nil {
			err = c.incoming.decode(&u.Published.Document)
		} else {
			u.Upstreams = new(List)
			err = c.incoming.decode(u.Upstreams)
		}
		c.incoming = transfer{}
		if err != nil {
			u.Published, u.Upstreams = nil, nil
			c.set.Log.Error().Err(err).Msg("cannot decode what the leader sent; it is requested again")
		}
	case u.Published != nil && u.Published.Document.Version > c.document && u.Published.Document.Body == nil:
		c.set.Log.Error().Uint64("version", u.Published.Document.Version).Msg("the leader left out a configuration that this host does not have")
		u.Published = nil
	}
	if u.Published != nil {
		c.document = max(c.document, u.Published.Document.Version)
	}
}

// updateList stores the list from an update. It applies a change and sets
// Upstreams to the resulting list.
func (c *Client) updateList(u *Update) {
	switch {
	case u.Upstreams != nil:
		c.list = *u.Upstreams
	case u.Change != nil && u.Change.From == c.list.Name:
		c.list = u.Change.apply(c.list)
	case u.Change != nil:
		c.set.Log.Error().Str("from", u.Change.From).Str("list", c.list.Name).Msg("the leader sent a change to a list that this host does not have")
		return
	default:
		return
	}
	// Apply gets a copy, since it may modify the list.
	u.Upstreams = &List{Name: c.list.Name, Upstreams: slices.Clone(c.list.Upstreams)}
}

// forgetLeader clears the leader if the failed call went to it.
func (c *Client) forgetLeader(to netip.AddrPort, err error) {
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
		// The connection may be dead; the next call opens a new one.
		p.Close()
		delete(c.peers, to)
	}
	return u, err
}
