package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailwall/buffer"
	"foxtailwall/counter"
	"foxtailwall/journaler"
	"foxtailwall/timekeeper"
)

const (
	// retryAfter is the pause before the next server is watched after one
	// failed.
	retryAfter = 200 * time.Millisecond
	// fallbackTime is how long a host watches another server than the one it
	// prefers before it tries that again.
	fallbackTime = 15 * time.Second
	// reviewAfter is the longest time for which one stream is used.
	reviewAfter = time.Hour
	// pollEvery bounds the delay of a change whose signal was missed.
	pollEvery = time.Second
	// gatherSize is the number of confirmations that wait at a relay.
	gatherSize = 1024
)

type (
	// Options configures a Node.
	Options struct {
		// Host is this host.
		Host Host
		// Control lists the addresses of the control hosts.
		Control []netip.AddrPort
		// Peers lists hosts of the same zone that are asked at the start and
		// when the control group is out of reach; the control group adds the
		// live hosts it knows.
		Peers     []netip.AddrPort
		Transport Transport
		Clock     timekeeper.Clock
		// FS stores the view; nil on hosts without a disk.
		FS    journaler.FS
		Scope counter.Scope
		Log   zerolog.Logger

		// Source and Group are set on control hosts.
		Source Source
		Group  Group
		// Deployment lists the configured hosts. The control leader names
		// those of them that it never hears of.
		Deployment []Host
		// OnReports receives the reports on the control leader. The hosts wait
		// for their leases while it runs.
		OnReports func([]Report)
	}

	// OptionError names an option that cannot be used.
	OptionError struct{ Option, Reason string }

	// Node is a host's part in the distribution. Make it with NewNode.
	Node struct {
		opts     Options
		holder   *Holder
		registry *Registry
		gathered *buffer.Ring[*pending]

		watchers atomic.Int64

		mu     sync.Mutex
		hosts  []Host
		leader netip.AddrPort
		// reports are those of this host and of the hosts it relays for.
		reports map[reportKey]Report
		// rehosted is closed when another server should be watched.
		rehosted chan struct{}
		// stalled says that the next server should be, because the present
		// one sends nothing.
		stalled bool
		// known is the newest version named by the last answer to a
		// confirmation.
		known uint64
	}

	// pending is a request that waits at a relay for the leader's answer.
	pending struct {
		req  *ConfirmRequest
		done chan confirmed
	}

	confirmed struct {
		res *ConfirmResponse
		err error
	}

	reportKey struct{ model, version, zone string }
)

// NewNode returns a node with the view stored on this host, if any. Errors
// are an *OptionError or a *journaler.CorruptError.
func NewNode(o Options) (*Node, error) {
	switch {
	case o.Clock == nil || o.Transport == nil:
		return nil, &OptionError{"Clock, Transport", "must be set"}
	case o.Host.Name == "" || o.Host.Zone == "":
		return nil, &OptionError{"Host", "must have a name and a zone"}
	case (o.Source == nil) != (o.Group == nil):
		return nil, &OptionError{"Source, Group", "must be set together, on control hosts only"}
	case o.Source == nil && len(o.Control) == 0:
		return nil, &OptionError{"Control", "must name the control hosts"}
	}
	o.Host.Control = o.Group != nil
	h, err := NewHolder(o.Clock, o.FS, o.Scope, o.Log)
	if err != nil {
		return nil, err
	}
	return &Node{
		opts: o, holder: h, registry: NewRegistry(o.Clock, o.Deployment...), gathered: buffer.New[*pending](gatherSize),
		reports: make(map[reportKey]Report), rehosted: make(chan struct{}),
	}, nil
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Reason) }

// Holder returns what is in force on this host.
func (n *Node) Holder() *Holder { return n.holder }

// Registry returns the registry, which is filled while this host leads.
func (n *Node) Registry() *Registry { return n.registry }

// Hosts returns the live hosts of this host's zone as last heard.
func (n *Node) Hosts() []Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.hosts)
}

// Watchers returns the number of hosts that watch this one.
func (n *Node) Watchers() int { return int(n.watchers.Load()) }

// Report adds to the statistics that are sent with the next confirmation. An
// empty zone means this host's.
func (n *Node) Report(rs ...Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range rs {
		if r.Zone == "" {
			r.Zone = n.opts.Host.Zone
		}
		k := reportKey{r.Model, r.Version, r.Zone}
		n.reports[k] = n.reports[k].plus(r)
	}
}

func (r Report) plus(o Report) Report {
	o.Requests += r.Requests
	o.Errors += r.Errors
	o.Rated += r.Rated
	o.Passed += r.Passed
	o.LateFirst += r.LateFirst
	return o
}

// takeReports returns and clears the reports.
func (n *Node) takeReports() []Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Report, 0, len(n.reports))
	for _, r := range n.reports {
		out = append(out, r)
	}
	clear(n.reports)
	return out
}

// Run keeps the host up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	if n.opts.Source != nil {
		wg.Go(func() { n.follow(ctx) })
	} else {
		n.Gather(ctx)
		wg.Go(func() { n.watchLoop(ctx) })
	}
	wg.Go(func() { n.relayLoop(ctx) })
	wg.Go(func() { n.confirmLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

// follow takes over the views of this host's own state machine.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.opts.Source.Changed()
		if term, ok := n.opts.Group.Leading(); ok {
			n.registry.Lead(term)
		}
		if err := n.holder.offerView(n.opts.Source.View()); err != nil {
			n.opts.Log.Error().Err(err).Msg("the view of the state machine could not be taken over")
		}
		n.wait(ctx, changed, pollEvery)
	}
}

// Gather asks all control hosts and zone peers for their version and takes
// the highest. It returns once each has answered or failed.
func (n *Node) Gather(ctx context.Context) {
	var wg conc.WaitGroup
	for _, to := range n.everybody() {
		wg.Go(func() {
			u, err := n.opts.Transport.Latest(ctx, to, n.holder.position())
			if err == nil {
				err = n.holder.Offer(u)
			}
			var be *BaseError
			if errors.As(err, &be) {
				// Another answer came first; the whole view settles it.
				if u, err = n.opts.Transport.Latest(ctx, to, &WatchRequest{}); err == nil {
					err = n.holder.Offer(u)
				}
			}
			if err != nil {
				n.opts.Scope.Counter("relayer.gatherFailed").Inc(1)
			}
		})
	}
	wg.Wait()
}

// everybody returns the control hosts and the hosts of the zone, without this
// one.
func (n *Node) everybody() []netip.AddrPort {
	out := append(slices.Clone(n.opts.Control), n.opts.Peers...)
	for _, h := range n.Hosts() {
		out = append(out, h.Addr)
	}
	out = slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == n.opts.Host.Addr })
	slices.SortFunc(out, netip.AddrPort.Compare)
	return slices.Compact(out)
}

// servers returns the hosts that this one watches, the preferred first: for a
// relay the control leader, for others the relays of the zone.
func (n *Node) servers() []netip.AddrPort {
	n.mu.Lock()
	hosts, leader := n.hosts, n.leader
	n.mu.Unlock()
	var out []netip.AddrPort
	rs := relays(hosts, n.opts.Host.Zone, n.opts.Host.Name)
	if !slices.ContainsFunc(rs, func(h Host) bool { return h.Name == n.opts.Host.Name }) {
		for _, h := range rs {
			out = append(out, h.Addr)
		}
	}
	if leader.IsValid() {
		out = append(out, leader)
	}
	control := slices.Clone(n.opts.Control)
	rand.Shuffle(len(control), func(i, j int) { control[i], control[j] = control[j], control[i] })
	for _, a := range control {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// watchLoop watches one server at a time.
func (n *Node) watchLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; {
		servers := n.servers()
		i %= len(servers)
		if ok := n.watch(ctx, servers[i], i > 0); ok {
			i = 0
			continue
		}
		i++
		n.wait(ctx, nil, retryAfter)
	}
}

// watch watches one server, and reports whether it ended because another is
// preferred now.
func (n *Node) watch(ctx context.Context, to netip.AddrPort, fallback bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	n.mu.Lock()
	rehosted := n.rehosted
	n.mu.Unlock()
	moved := make(chan struct{})
	wg.Go(func() {
		d := reviewAfter
		if fallback {
			d = fallbackTime
		}
		n.wait(ctx, rehosted, d)
		if ctx.Err() == nil {
			close(moved)
		}
		cancel()
	})
	err := n.opts.Transport.Watch(ctx, to, n.holder.position(), func(u *Update) error {
		n.heardLeader(u.Leader)
		return n.holder.Offer(u)
	})
	cancel()
	wg.Wait()
	select {
	case <-moved:
		n.mu.Lock()
		defer n.mu.Unlock()
		stalled := n.stalled
		n.stalled = false
		return !stalled
	default:
	}
	var be *BaseError
	if errors.As(err, &be) {
		n.opts.Scope.Counter("relayer.rebased").Inc(1)
		n.refetch(ctx, to)
	}
	n.opts.Scope.Counter("relayer.watchFailed").Inc(1)
	return false
}

// refetch takes the whole view of a server.
func (n *Node) refetch(ctx context.Context, to netip.AddrPort) {
	if u, err := n.opts.Transport.Latest(ctx, to, &WatchRequest{}); err == nil {
		// A view that still does not fit is replaced by the next update.
		_ = n.holder.Offer(u)
	}
}

// heardLeader notes the control leader that a control host names.
func (n *Node) heardLeader(a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == a {
		return
	}
	n.leader = a
	n.signal()
}

func (n *Node) heardHosts(hs []Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hs = slices.DeleteFunc(slices.Clone(hs), func(h Host) bool { return h.Zone != n.opts.Host.Zone })
	if len(hs) == 0 || slices.Equal(hs, n.hosts) {
		return
	}
	old := n.hosts
	n.hosts = hs
	zone, name := n.opts.Host.Zone, n.opts.Host.Name
	if !slices.Equal(relays(old, zone, name), relays(hs, zone, name)) {
		n.signal()
	}
}

// signal tells the watch loop that another server may be preferred.
func (n *Node) signal() {
	close(n.rehosted)
	n.rehosted = make(chan struct{})
}

// wait returns once c is closed, d has passed or ctx has ended.
func (n *Node) wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	t := n.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C():
	case <-ctx.Done():
	}
}
