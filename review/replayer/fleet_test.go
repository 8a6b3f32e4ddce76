//go:build review

package replayer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Addresses of the stand-ins and of the hosts, which are apart from each other as on
// machines of their own.
const (
	controlIP  = "127.77.1.%d"
	entryIP    = "127.77.2.%d"
	replicaIP  = "127.77.3.%d"
	platformIP = "127.77.4.1"
	proxyIP    = "127.77.5.%d"
	clientIP   = "127.77.6.%d"
)

const (
	controls = 3
	// startTime is how long a started host has to listen.
	startTime = 10 * time.Second
)

type (
	// fleet is a small deployment: the programs of the deploy file as processes, and
	// the platform's list.
	fleet struct {
		rec *record
		dir string
		// program is the built command.
		program string
		ports   fleetPorts
		zones   []string
		// seedIPs overrides the IP addresses of the seeds.
		seedIPs  []string
		controls []*host
		entries  []*host
		list     *list
		log      *os.File
		fields   string

		// mu guards stopped, after which no process is started.
		mu      sync.Mutex
		stopped bool
	}

	fleetPorts struct{ front, ready, control, first, last, cloud int }

	// host is one process of the system.
	host struct {
		f              *fleet
		name, ip, zone string
		control        bool
		bootstrap      bool

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		// ended reports whether the end was asked for.
		asked bool
	}

	// list is the platform's list of replicas.
	list struct {
		mu      sync.Mutex
		entries []map[string]any
		// before is called before each answer.
		before func()
		server *http.Server
	}
)

// newFleet returns a fleet with entries hosts for each zone, in turn, that are not started.
func newFleet(rec *record, zones []string, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join("target", "foxtailwall"))
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, program: program, zones: zones, list: &list{}}
	if f.log, err = os.Create(filepath.Join(dir, "hosts.log")); err != nil {
		return nil, err
	}
	if f.ports, err = freePorts(); err != nil {
		return nil, err
	}
	for i := range controls {
		f.controls = append(f.controls, &host{f: f, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf(controlIP, i+1), zone: zones[i%len(zones)], control: true, bootstrap: true})
	}
	for i := range entries {
		f.entries = append(f.entries, &host{f: f, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf(entryIP, i+1), zone: zones[i%len(zones)]})
	}
	running.Store(f)
	return f, f.list.serve(fmt.Sprintf("%s:%d", platformIP, f.ports.cloud))
}

// freePorts returns ports that are free on all loopback addresses that are used.
func freePorts() (fleetPorts, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			l.Close()
		}
	}()
	next := func() (int, error) {
		l, err := net.Listen("tcp", ":0")
		if err != nil {
			return 0, err
		}
		held = append(held, l)
		return l.Addr().(*net.TCPAddr).Port, nil
	}
	var p fleetPorts
	for _, to := range []*int{&p.front, &p.ready, &p.control, &p.first, &p.last, &p.cloud} {
		n, err := next()
		if err != nil {
			return p, err
		}
		*to = n
	}
	if p.first > p.last {
		p.first, p.last = p.last, p.first
	}
	return p, nil
}

func (l *list) serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		before := l.before
		l.mu.Unlock()
		if before != nil {
			before()
		}
		l.mu.Lock()
		body, _ := json.Marshal(map[string]any{"instances": l.entries, "next": nil})
		l.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.Write(body)
	})}
	go l.server.Serve(ln)
	return nil
}

// set replaces the list.
func (l *list) set(entries ...map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// start starts all hosts and waits until they listen.
func (f *fleet) start() error {
	for _, h := range f.all() {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.all() {
		if err := h.awaitListening(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) all() []*host { return append(append([]*host(nil), f.controls...), f.entries...) }

// stop ends all processes that were started.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, h := range f.all() {
		h.kill()
	}
	f.list.server.Close()
	f.log.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

func (h *host) controlAddr() string { return fmt.Sprintf("%s:%d", h.ip, h.f.ports.control) }
func (h *host) frontAddr() string   { return fmt.Sprintf("%s:%d", h.ip, h.f.ports.front) }

// writeSettings writes the settings file and returns its path.
func (h *host) writeSettings() (string, error) {
	f := h.f
	class, serves, listen := "edge", "edge", fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", h.ip, f.ports.front, h.ip, f.ports.ready)
	limits := "cpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0"
	dataDir := ""
	if h.control {
		class, serves, listen = "core", "control_plane", fmt.Sprintf("control = \"%s:%d\"", h.ip, f.ports.control)
		limits = "cpuShare = 0.48\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128"
		dataDir = fmt.Sprintf("dataDir = %q\n", filepath.Join(f.dir, h.name))
	}
	seedIPs := f.seedIPs
	if seedIPs == nil {
		for _, c := range f.controls {
			seedIPs = append(seedIPs, c.ip)
		}
	}
	var seeds, zones []string
	for _, ip := range seedIPs {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", ip, f.ports.control))
	}
	for _, z := range f.zones {
		zones = append(zones, z+" = \"region-1\"")
	}
	text := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "region-1"
internalPorts = [%d,%d]
seedNodes = [%s]
bootstrap = %t
lossCounts = %t
discovery = "cloud_api"
entryMode = "vip"
heartbeatMs = 1200
configMode = "highest"
%s[zones]
%s
[listen]
%s
[limits]
%s
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
skewBoundMs = 5000
retryBudgetRatio = 0.9
budgetWindowS = 10
retrySlack = 52
canaryShare = 0.15
canarySlack = 30
rollbackMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 7.4
sessionS = 5
%s
[cloudApi]
address = "%s:%d"
ratePerS = 40.0
maxLagMs = 800
`, h.name, map[bool]string{true: "control", false: "entry"}[h.control], class, serves, h.ip, h.zone, f.ports.first, f.ports.last,
		strings.Join(seeds, ","), h.bootstrap, h.control, dataDir, strings.Join(zones, "\n"), listen, limits, f.fields, platformIP, f.ports.cloud)
	path := filepath.Join(f.dir, h.name+".toml")
	temp := path + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(temp, path)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	path, err := h.writeSettings()
	if err != nil {
		return err
	}
	role := "entry"
	if h.control {
		role = "control"
		if err := os.MkdirAll(filepath.Join(h.f.dir, h.name), 0o755); err != nil {
			return err
		}
	}
	cmd := exec.Command(h.f.program, role, "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.f.dir, "FOXTAILWALL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = h.f.log, h.f.log
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.stopped {
		return errors.New("the case has ended")
	}
	// The hosts end with this process, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(cmd, h.index()); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.asked = cmd, exited, false
	h.mu.Unlock()
	h.f.rec.add("%s starts, process %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		asked := h.asked
		h.mu.Unlock()
		if !asked {
			h.f.rec.add("%s ends by itself: %v", h.name, err)
		}
		close(exited)
	}()
	return nil
}

// index returns the position of the host among all.
func (h *host) index() int { return slices.Index(h.f.all(), h) }

// startOnOneCore starts a process that sees one core, as on the machines of the sheet.
func startOnOneCore(cmd *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	left := n % all.Count()
	for cpu := 0; left >= 0; cpu++ {
		if !all.IsSet(cpu) {
			continue
		}
		if left == 0 {
			one.Set(cpu)
		}
		left--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &all)
	return cmd.Start()
}

// awaitListening waits until the host accepts connections.
func (h *host) awaitListening() error {
	addr := h.frontAddr()
	if h.control {
		addr = h.controlAddr()
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); pause(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen", h.name)
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.asked = true
	}
	h.f.rec.add("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	h.signal(syscall.SIGKILL)
	<-exited
}

// awaitReady waits until the entries answer their readiness check with 200.
func (f *fleet) awaitReady() error {
	for _, h := range f.entries {
		url := fmt.Sprintf("http://%s:%d/v1/ready", h.ip, f.ports.ready)
		ok := false
		for end := time.Now().Add(startTime); !ok && time.Now().Before(end); pause(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				ok = resp.StatusCode == http.StatusOK
				resp.Body.Close()
			}
			cancel()
		}
		if !ok {
			return fmt.Errorf("%s does not become ready", h.name)
		}
	}
	return nil
}
