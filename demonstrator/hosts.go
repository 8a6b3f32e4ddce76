package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"foxtailwall/hoster"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
)

const (
	hostsPerZone = 2
	// minPort and maxPort bound the ports of hosts, and portTries how often a
	// free one is looked for.
	minPort, maxPort = 20000, 30000
	portTries        = 100
	operatorKey      = "demo-operator-key"
	// drainTime bounds the shutdown of a host. It exceeds the time for which a
	// request can wait on a connection that the cut of a zone has silenced.
	drainTime = 15 * time.Second
)

type (
	// cluster holds the hosts of all zones.
	cluster struct {
		clock   timekeeper.Clock
		network *network
		folder  string
		log     zerolog.Logger
		hosts   []*node
		specs   []hoster.Spec
		control []string
		client  *http.Client

		mu        sync.Mutex
		listeners map[netip.AddrPort]net.Listener
	}

	// node is one host with what is needed to start it again.
	node struct {
		set    hoster.Settings
		cancel context.CancelFunc
		done   chan error
	}

	// HostError says that a host of the demo failed.
	HostError struct {
		Host string
		Err  error
	}
)

// Error implements error.
func (e *HostError) Error() string { return fmt.Sprintf("host %s: %v", e.Host, e.Err) }

// Unwrap returns the cause.
func (e *HostError) Unwrap() error { return e.Err }

// newCluster reserves the ports of all hosts and starts none.
func newCluster(clock timekeeper.Clock, n *network, f *fleet, folder string, log zerolog.Logger) (*cluster, error) {
	c := &cluster{
		clock: clock, network: n, folder: folder, log: log,
		listeners: make(map[netip.AddrPort]net.Listener),
		client:    &http.Client{Timeout: time.Second},
	}
	for _, z := range f.zones {
		for i := range hostsPerZone {
			peers, err := c.reserve(z)
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%s%d", z, i+1)
			c.specs = append(c.specs, hoster.Spec{Name: name, Zone: z, Addr: peers, Disk: i == 0})
			if i == 0 {
				c.control = append(c.control, name)
			}
		}
	}
	for _, s := range c.specs {
		set, err := c.settings(s, f)
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, &node{set: set})
	}
	return c, nil
}

// reserve opens a free port, so that its number is known before the host that
// uses it starts.
func (c *cluster) reserve(zone string) (netip.AddrPort, error) {
	l, err := listenLow()
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "reserve a port")
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return addr, errors.Wrap(err, "reserve a port")
	}
	c.listeners[addr] = l
	c.network.place(addr, zone)
	return addr, nil
}

// listenLow listens on a free port below those that the system gives to
// outgoing connections: one of them could take the port of a host that stops,
// before it starts again.
func listenLow() (net.Listener, error) {
	var err error
	for range portTries {
		var l net.Listener
		port := minPort + rand.IntN(maxPort-minPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// listen hands out a reserved port once; a host that starts again opens it
// anew.
func (c *cluster) listen(addr netip.AddrPort) (net.Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.listeners[addr]; ok {
		delete(c.listeners, addr)
		return l, nil
	}
	return net.Listen("tcp", addr.String())
}

func (c *cluster) settings(s hoster.Spec, f *fleet) (hoster.Settings, error) {
	callers, err := c.reserve(s.Zone)
	if err != nil {
		return hoster.Settings{}, err
	}
	operators, err := c.reserve(s.Zone)
	if err != nil {
		return hoster.Settings{}, err
	}
	insecure := hoster.TLSFiles{Insecure: true}
	set := hoster.Settings{
		Name: s.Name, Zone: s.Zone, Entry: true, Hosts: c.specs, Control: c.control,
		Callers: callers, Operators: operators, Peers: s.Addr,
		Platform: f.platform.addr, Rater: f.rater.addr,
		SessionKeys: [][]byte{[]byte("demo-session-key-of-32-bytes-....")}, OperatorKeys: []string{operatorKey},
		CallerTLS: insecure, PeerTLS: insecure, UpstreamTLS: insecure,
		Drain: drainTime, Grace: 200 * time.Millisecond,
	}
	if s.Disk {
		set.DataFolder = filepath.Join(c.folder, s.Name)
	}
	return set, nil
}

// start runs the host until its context ends.
func (c *cluster) start(ctx context.Context, n *node) error {
	if n.set.DataFolder != "" {
		if err := os.MkdirAll(n.set.DataFolder, 0o750); err != nil {
			return errors.Wrap(err, "create the data folder")
		}
	}
	h, err := hoster.New(n.set, hoster.Options{
		Clock: c.clock, Dial: c.network.dialer(n.set.Zone), Listen: c.listen,
		Log: c.log.With().Str("host", n.set.Name).Logger(),
	})
	if err != nil {
		return &HostError{Host: n.set.Name, Err: err}
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.done = make(chan error, 1)
	go func() { n.done <- h.Run(ctx) }()
	return nil
}

// stop shuts the host down gracefully.
func (c *cluster) stop(n *node) error {
	if n.cancel == nil {
		return nil
	}
	n.cancel()
	n.cancel = nil
	if err := <-n.done; err != nil {
		return &HostError{Host: n.set.Name, Err: err}
	}
	return nil
}

// stopAll shuts all hosts down at once.
func (c *cluster) stopAll() error {
	errs := make(chan error, len(c.hosts))
	for _, n := range c.hosts {
		go func() { errs <- c.stop(n) }()
	}
	var err error
	for range c.hosts {
		err = errors.CombineErrors(err, <-errs)
	}
	return err
}

// operator returns a client of the control group for one office.
func (c *cluster) operator() *messenger.Operator {
	op := &messenger.Operator{Clock: c.clock}
	for _, s := range c.specs {
		if s.Disk {
			op.Peers = append(op.Peers, messenger.NewPeer(s.Addr, nil))
		}
	}
	return op
}

// entries returns the callers' addresses of all hosts.
func (c *cluster) entries() []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range c.hosts {
		out = append(out, n.set.Callers)
	}
	return out
}

// inForce asks a host's operators' port which version it acts on.
func (c *cluster) inForce(ctx context.Context, n *node) (uint64, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.set.Operators.String()+"/config", nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	v, err := strconv.ParseUint(resp.Header.Get("Foxtailwall-Version"), 10, 64)
	return v, err == nil && resp.StatusCode == http.StatusOK
}
