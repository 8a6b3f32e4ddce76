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
	// minPort and maxPort bound the ports of hosts; portTries bounds the
	// attempts to find a free one.
	minPort, maxPort = 20000, 30000
	portTries        = 100
	operatorKey      = "demo-operator-key"
	// drainTime bounds the shutdown of a host. It exceeds the time that a
	// request can wait on a connection that a partition made silent.
	drainTime = 15 * time.Second
)

type (
	// cluster starts and stops the hosts of all zones.
	cluster struct {
		clock   timekeeper.Clock
		network *network
		folder  string
		log     zerolog.Logger
		hosts   []*demoHost
		specs   []hoster.Spec
		control []string
		client  *http.Client

		mu        sync.Mutex
		listeners map[netip.AddrPort]net.Listener
	}

	// demoHost is one host with the settings to restart it.
	demoHost struct {
		set    hoster.Settings
		cancel context.CancelFunc
		done   chan error
	}

	// HostError reports that a host of the demo failed.
	HostError struct {
		Host string
		Err  error
	}
)

// Error implements error.
func (e *HostError) Error() string { return fmt.Sprintf("host %s: %v", e.Host, e.Err) }

// Unwrap returns the cause.
func (e *HostError) Unwrap() error { return e.Err }

// newCluster reserves the ports of all hosts. It does not start them.
func newCluster(clock timekeeper.Clock, n *network, f *fleet, folder string, log zerolog.Logger) (*cluster, error) {
	c := &cluster{
		clock: clock, network: n, folder: folder, log: log,
		listeners: make(map[netip.AddrPort]net.Listener),
		client:    &http.Client{Timeout: time.Second},
	}
	for _, z := range f.zones {
		for i := range hostsPerZone {
			peers, err := c.reservePort(z)
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
		c.hosts = append(c.hosts, &demoHost{set: set})
	}
	return c, nil
}

// reservePort listens on a free port, so that its number is known before the
// host that uses it starts.
func (c *cluster) reservePort(zone string) (netip.AddrPort, error) {
	l, err := listenBelowEphemeral()
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "reserve a port")
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return addr, errors.Wrap(err, "reserve a port")
	}
	c.listeners[addr] = l
	c.network.assignZone(addr, zone)
	return addr, nil
}

// listenBelowEphemeral listens on a free port below the ephemeral range.
// Otherwise an outgoing connection could take the port of a stopped host before
// the host restarts.
func listenBelowEphemeral() (net.Listener, error) {
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

// listen returns the listener of a reserved port on the first call, and listens
// again when a host restarts.
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
	callers, err := c.reservePort(s.Zone)
	if err != nil {
		return hoster.Settings{}, err
	}
	operators, err := c.reservePort(s.Zone)
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

// start runs the host in the background until ctx ends or stop is called.
func (c *cluster) start(ctx context.Context, n *demoHost) error {
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
func (c *cluster) stop(n *demoHost) error {
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

// stopAll shuts all hosts down concurrently.
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

// operator returns a client of the control group.
func (c *cluster) operator() *messenger.OperatorClient {
	op := &messenger.OperatorClient{Clock: c.clock}
	for _, s := range c.specs {
		if s.Disk {
			op.Peers = append(op.Peers, messenger.NewPeer(s.Addr, nil))
		}
	}
	return op
}

// entries returns the addresses for callers of all hosts.
func (c *cluster) entries() []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range c.hosts {
		out = append(out, n.set.Callers)
	}
	return out
}

// inForce returns the configuration version in force on a host, from its port
// for operators, or false if the host does not answer.
func (c *cluster) inForce(ctx context.Context, n *demoHost) (uint64, bool) {
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
