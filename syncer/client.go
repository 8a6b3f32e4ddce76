package syncer

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

const (
	// callSlack is how much longer than Report.Wait a call may take before the
	// control host counts as unreachable.
	callSlack = 350 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between the calls of a search for
	// the leader.
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 300 * time.Millisecond
	// redialTime is the time after which a search calls a control host again to which it
	// has no connection. The system repeats the first packet of a connection, which a host
	// without power has not received, only after a second.
	redialTime = 200 * time.Millisecond
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

	// Client long-polls the leader of the control group. Make it with NewClient.
	Client struct {
		set ClientSettings
		// list is the newest list that the leader sent.
		list List
		// document is the version of the newest document that the leader sent.
		document uint64
		incoming transfer
		// partBytes is the size of the parts to request. It is halved after a call
		// that failed, since the link may be too slow for the size, and doubled after
		// each part.
		partBytes int
		// named is the leader that was named last, and turn counts the calls of searches.
		named netip.AddrPort
		turn  uint64

		mu      sync.Mutex
		leader  netip.AddrPort
		members []netip.AddrPort
		peers   map[netip.AddrPort]*messenger.Peer
	}

	// searchCall is the latest call of a search to a control host.
	searchCall struct {
		madeAt    time.Time
		connected atomic.Bool
	}

	// answer is the outcome of a call of a search.
	answer struct {
		from netip.AddrPort
		// inTurn is false if another host named this one as leader.
		inTurn bool
		update *Update
		err    error
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
	// Hosts that start together begin with different control hosts.
	c.turn = xxhash.Sum64String(c.set.Report().Host)
	for ctx.Err() == nil {
		if to := c.Leader(); to.IsValid() {
			c.poll(ctx, to)
		} else {
			c.search(ctx)
		}
	}
}

// poll makes one call to the leader.
func (c *Client) poll(ctx context.Context, to netip.AddrPort) {
	r := c.report()
	u, err := c.timedCall(ctx, to, r)
	if err != nil {
		c.partBytes = max(c.partBytes/2, minPartBytes)
		c.forgetLeader(to, err)
		return
	}
	c.handleUpdate(to, u)
}

// search calls the control hosts in turn until one answers that it leads. It makes the
// next call while earlier ones have no answer: a host without power does not refuse
// connections, and all hosts lose their power together at times.
func (c *Client) search(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, calls := make(chan answer), make(map[netip.AddrPort]*searchCall)
	call := func(to netip.AddrPort, inTurn bool) {
		sc, r := &searchCall{madeAt: c.set.Clock.Now()}, c.report()
		calls[to] = sc
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sc.connected.Store(true) }})
		go func() {
			u, err := c.timedCall(traced, to, r)
			select {
			case answers <- answer{to, inTurn, u, err}:
			case <-ctx.Done():
			}
		}()
	}
	to := c.named
	for pause := minRetryPause; ; pause = min(pause*3/2, maxRetryPause) {
		if !to.IsValid() {
			to = c.nextTarget(calls)
		}
		if to.IsValid() {
			call(to, true)
		}
		to = netip.AddrPort{}
		timer := c.set.Clock.NewTimer(pause)
		for over := false; !over; {
			select {
			case a := <-answers:
				delete(calls, a.from)
				switch {
				case a.err != nil:
					c.partBytes = max(c.partBytes/2, minPartBytes)
				case c.handleUpdate(a.from, a.update):
					timer.Stop()
					return
				case a.inTurn && a.update.Leader.IsValid() && c.mayCall(calls[a.update.Leader], minRetryPause):
					// Two hosts that name each other are not called in a circle.
					call(a.update.Leader, false)
				}
			case <-timer.C():
				over = true
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	}
}

// mayCall reports whether a control host may be called although another call, nil if
// there is none, has no answer yet: that has no connection after a time.
func (c *Client) mayCall(other *searchCall, after time.Duration) bool {
	return other == nil || !other.connected.Load() && c.set.Clock.Since(other.madeAt) >= after
}

// nextTarget returns the next control host in turn that may be called, invalid if there
// is none.
func (c *Client) nextTarget(calls map[netip.AddrPort]*searchCall) netip.AddrPort {
	c.mu.Lock()
	all := slices.Concat(c.set.Seeds(), c.members)
	c.mu.Unlock()
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	for range all {
		c.turn++
		if to := all[c.turn%uint64(len(all))]; c.mayCall(calls[to], redialTime) {
			return to
		}
	}
	return netip.AddrPort{}
}

// report returns the report of this host for the next call.
func (c *Client) report() *Report {
	r := c.set.Report()
	if r.List != c.list.Name {
		// A change could not be applied, so request the whole list.
		r.List = ""
	}
	if r.Wait == 0 {
		r.Wait = DefaultWait
	}
	r.PartBytes, r.Document, r.Partial = c.partBytes, c.document, c.incoming.partial()
	return &r
}

func (c *Client) timedCall(ctx context.Context, to netip.AddrPort, r *Report) (*Update, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+callSlack)
	defer cancel()
	return c.set.Call(ctx, to, r)
}

// handleUpdate applies an update and reports whether it comes from the leader.
func (c *Client) handleUpdate(from netip.AddrPort, u *Update) bool {
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
	c.named = u.Leader
	switch {
	case !u.FromLeader:
		c.leader = netip.AddrPort{}
	case c.leader != from:
		c.set.Log.Info().Stringer("leader", from).Msg("connected to the leader of the control group")
		c.leader = from
	}
	return u.FromLeader
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
	c.leader, c.named = netip.AddrPort{}, netip.AddrPort{}
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, r *Report) (*Update, error) {
	c.mu.Lock()
	p := c.peers[to]
	if p == nil {
		p = messenger.NewPeer(to, nil)
		c.peers[to] = p
	}
	c.mu.Unlock()
	u, err := messenger.Call[Report, Update](ctx, p, procedure, r)
	if err != nil {
		// The connection may be dead; the next call opens a new one.
		p.Close()
		c.mu.Lock()
		if c.peers[to] == p {
			delete(c.peers, to)
		}
		c.mu.Unlock()
	}
	return u, err
}
