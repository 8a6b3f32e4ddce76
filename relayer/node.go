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
	// watchRetryDelay is the pause between a failed watch and the next one.
	watchRetryDelay = 200 * time.Millisecond
	// fallbackWatchTime is how long a host watches a fallback server before it
	// tries the preferred one again.
	fallbackWatchTime = 15 * time.Second
	// maxWatchTime is the time after which a watch stream is reopened.
	maxWatchTime = time.Hour
	// pollInterval bounds the delay of a change whose notification was missed.
	pollInterval = time.Second
	// batchQueueSize is the number of confirm requests that a relay queues.
	batchQueueSize = 1024
)

type (
	// Options configures a Node.
	Options struct {
		// Host is this host.
		Host Host
		// Control lists the addresses of the control hosts.
		Control []netip.AddrPort
		// Peers lists hosts of the same zone to fetch views from at startup
		// and while the control group is unreachable, in addition to the live
		// hosts that the control group reports.
		Peers     []netip.AddrPort
		Transport Transport
		Clock     timekeeper.Clock
		// FS stores the view; it is nil on hosts without a disk.
		FS    journaler.FS
		Scope counter.Scope
		Log   zerolog.Logger
		// Queue returns the state of this host's queue for its confirmations,
		// nil if it has none.
		Queue func() *QueueStatus

		// Source and Group are set on control hosts.
		Source Source
		Group  Group
		// Deployment lists the configured hosts, so that the control leader
		// also reports those that never confirm.
		Deployment []Host
		// OnReports receives the reports on the control leader. It must return
		// quickly, as the hosts wait for their leases while it runs.
		OnReports func([]Report)
	}

	// OptionError reports an option that is missing or invalid.
	OptionError struct{ Option, Reason string }

	// Node keeps one host's view and lease up to date, and relays for other
	// hosts. Make it with NewNode.
	Node struct {
		opts     Options
		holder   *Holder
		registry *Registry
		queue    *buffer.Ring[*queuedConfirm]

		watchers atomic.Int64

		mu     sync.Mutex
		hosts  []Host
		leader netip.AddrPort
		// reports holds the unsent reports of this host and of the hosts that
		// it relays for.
		reports map[reportKey]Report
		// serverChanged is closed to make watchLoop choose a server again.
		serverChanged chan struct{}
		// stalled is set if the watched server sends no updates, so that the
		// next one has to be tried.
		stalled bool
		// leaderVersion is the newest version according to the response to
		// the last confirmation.
		leaderVersion uint64
	}

	// queuedConfirm is a request that waits at a relay for the leader's
	// response.
	queuedConfirm struct {
		req  *ConfirmRequest
		done chan confirmResult
	}

	confirmResult struct {
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
		opts: o, holder: h, registry: NewRegistry(o.Clock, o.Deployment...), queue: buffer.New[*queuedConfirm](batchQueueSize),
		reports: make(map[reportKey]Report), serverChanged: make(chan struct{}),
	}, nil
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Reason) }

// Holder returns the holder of the view in force on this host.
func (n *Node) Holder() *Holder { return n.holder }

// Registry returns the registry of hosts, which is current only while this host
// leads the control group.
func (n *Node) Registry() *Registry { return n.registry }

// Hosts returns the live hosts of this host's zone as last reported by the
// control leader.
func (n *Node) Hosts() []Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.hosts)
}

// Watchers returns the number of open watch streams to this host.
func (n *Node) Watchers() int { return int(n.watchers.Load()) }

// Report adds to the reports that are sent with the next confirmation. An empty
// zone means this host's zone.
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

// Run keeps the host's view and lease up to date until ctx ends, and returns the
// error of ctx.
func (n *Node) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	if n.opts.Source != nil {
		wg.Go(func() { n.followSource(ctx) })
	} else {
		n.FetchLatest(ctx)
		wg.Go(func() { n.watchLoop(ctx) })
	}
	wg.Go(func() { n.relayLoop(ctx) })
	wg.Go(func() { n.confirmLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

// followSource applies the views of this host's own state machine until ctx
// ends.
func (n *Node) followSource(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.opts.Source.Changed()
		if term, ok := n.opts.Group.Leading(); ok {
			n.registry.StartTerm(term)
		}
		if err := n.holder.applyView(n.opts.Source.View()); err != nil {
			n.opts.Log.Error().Err(err).Msg("applying the view of the state machine failed")
		}
		n.wait(ctx, changed, pollInterval)
	}
}

// FetchLatest asks all control hosts and zone peers for their view and applies
// the newest one. It returns once each has answered or failed.
func (n *Node) FetchLatest(ctx context.Context) {
	var wg conc.WaitGroup
	for _, to := range n.peerAddrs() {
		wg.Go(func() {
			u, err := n.opts.Transport.Latest(ctx, to, n.holder.watchRequest())
			if err == nil {
				err = n.holder.Apply(u)
			}
			var be *BaseError
			if errors.As(err, &be) {
				// Another response was applied first, so that the delta no
				// longer fits; the whole view does.
				if u, err = n.opts.Transport.Latest(ctx, to, &WatchRequest{}); err == nil {
					err = n.holder.Apply(u)
				}
			}
			if err != nil {
				n.opts.Scope.Counter("relayer.gatherFailed").Inc(1)
			}
		})
	}
	wg.Wait()
}

// peerAddrs returns the addresses of the control hosts and of the zone's other
// hosts, without duplicates.
func (n *Node) peerAddrs() []netip.AddrPort {
	out := append(slices.Clone(n.opts.Control), n.opts.Peers...)
	for _, h := range n.Hosts() {
		out = append(out, h.Addr)
	}
	out = slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == n.opts.Host.Addr })
	slices.SortFunc(out, netip.AddrPort.Compare)
	return slices.Compact(out)
}

// servers returns the hosts that this one can watch, in order of preference: the
// relays of its zone unless it is one itself, then the control leader, then the
// other control hosts in random order.
func (n *Node) servers() []netip.AddrPort {
	n.mu.Lock()
	hosts, leader := n.hosts, n.leader
	n.mu.Unlock()
	var out []netip.AddrPort
	rs := selectRelays(hosts, n.opts.Host.Zone, n.opts.Host.Name)
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

// watchLoop watches one server at a time until ctx ends, and tries the next one
// after a failure.
func (n *Node) watchLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; {
		servers := n.servers()
		i %= len(servers)
		if ok := n.watch(ctx, servers[i], i > 0); ok {
			i = 0
			continue
		}
		i++
		n.wait(ctx, nil, watchRetryDelay)
	}
}

// watch applies the updates of one server. It reports whether it ended because
// the preferred server is to be tried again.
func (n *Node) watch(ctx context.Context, to netip.AddrPort, fallback bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	n.mu.Lock()
	serverChanged := n.serverChanged
	n.mu.Unlock()
	switching := make(chan struct{})
	wg.Go(func() {
		d := maxWatchTime
		if fallback {
			d = fallbackWatchTime
		}
		n.wait(ctx, serverChanged, d)
		if ctx.Err() == nil {
			close(switching)
		}
		cancel()
	})
	err := n.opts.Transport.Watch(ctx, to, n.holder.watchRequest(), func(u *Update) error {
		n.setLeader(u.Leader)
		return n.holder.Apply(u)
	})
	cancel()
	wg.Wait()
	select {
	case <-switching:
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
		n.fetchFullView(ctx, to)
	}
	n.opts.Scope.Counter("relayer.watchFailed").Inc(1)
	return false
}

// fetchFullView fetches and applies a server's whole view.
func (n *Node) fetchFullView(ctx context.Context, to netip.AddrPort) {
	if u, err := n.opts.Transport.Latest(ctx, to, &WatchRequest{}); err == nil {
		// If this fails, the next update replaces the view.
		_ = n.holder.Apply(u)
	}
}

// setLeader records the control leader's address, unless it is invalid.
func (n *Node) setLeader(a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == a {
		return
	}
	n.leader = a
	n.signalServerChange()
}

// setHosts records the live hosts of this host's zone, unless there are none.
func (n *Node) setHosts(hs []Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hs = slices.DeleteFunc(slices.Clone(hs), func(h Host) bool { return h.Zone != n.opts.Host.Zone })
	if len(hs) == 0 || slices.Equal(hs, n.hosts) {
		return
	}
	old := n.hosts
	n.hosts = hs
	zone, name := n.opts.Host.Zone, n.opts.Host.Name
	if !slices.Equal(selectRelays(old, zone, name), selectRelays(hs, zone, name)) {
		n.signalServerChange()
	}
}

// signalServerChange wakes the watch loop to choose a server again. The caller
// holds n.mu.
func (n *Node) signalServerChange() {
	close(n.serverChanged)
	n.serverChanged = make(chan struct{})
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
