package emulator

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailwall/timekeeper"
)

const defaultPlatformLag = 2 * time.Second

// States of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

type (
	// HostState is the state of a host in the platform's list.
	HostState string

	// PlatformConfig configures a Platform. Zero fields take defaults.
	PlatformConfig struct {
		Clock timekeeper.Clock
		// Lag is the delay until a change appears in GET /hosts.
		Lag time.Duration
	}

	// Host is one entry of the platform's list.
	Host struct {
		Address     netip.AddrPort `json:"address"`
		Incarnation uint64         `json:"incarnation"`
		State       HostState      `json:"state"`
	}

	// Platform is a stand-in for the platform's list of hosts.
	Platform struct {
		conf   PlatformConfig
		clock  timekeeper.Clock
		router *httprouter.Router

		mu    sync.Mutex
		lists []hostsBody // oldest first; the last one is the latest
		down  bool
	}

	// hostsBody is the response to GET /hosts.
	hostsBody struct {
		At    time.Time `json:"at"`
		Hosts []Host    `json:"hosts"`
	}
)

// NewPlatform returns a platform with an empty list.
func NewPlatform(conf PlatformConfig) *Platform {
	setDefault(&conf.Lag, defaultPlatformLag)
	p := &Platform{conf: conf, clock: clockOrSystem(conf.Clock)}
	p.lists = []hostsBody{{Hosts: []Host{}}}
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/hosts", p.serveHosts)
	r.HandlerFunc(http.MethodPost, "/faults", handleFaults(p))
	p.router = r
	return p
}

// Handler serves GET /hosts and POST /faults.
func (p *Platform) Handler() http.Handler { return p.router }

// Set adds h, or replaces the host with the same address.
func (p *Platform) Set(h Host) {
	p.updateHosts(func(hosts []Host) []Host {
		if i := slices.IndexFunc(hosts, func(o Host) bool { return o.Address == h.Address }); i >= 0 {
			hosts[i] = h
			return hosts
		}
		return append(hosts, h)
	})
}

// Remove removes the host with that address from the list.
func (p *Platform) Remove(addr netip.AddrPort) {
	p.updateHosts(func(hosts []Host) []Host {
		return slices.DeleteFunc(hosts, func(o Host) bool { return o.Address == addr })
	})
}

// SetFault makes the list unavailable or available again. It returns an
// *UnsupportedFaultError.
func (p *Platform) SetFault(f Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return applyDownFault(&p.down, f, "the host list")
}

func (p *Platform) updateHosts(f func([]Host) []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := slices.Clone(p.lists[len(p.lists)-1].Hosts)
	p.lists = append(p.lists, hostsBody{At: p.clock.Now(), Hosts: f(hosts)})
	p.delayedList()
}

// delayedList returns the newest list that is at least Lag old, or the oldest
// one, and drops those before it.
func (p *Platform) delayedList() hostsBody {
	limit := p.clock.Now().Add(-p.conf.Lag)
	for len(p.lists) > 1 && !p.lists[1].At.After(limit) {
		p.lists = p.lists[1:]
	}
	return hostsBody{At: limit, Hosts: p.lists[0].Hosts}
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		writeError(w, http.StatusServiceUnavailable, true, "down", "the host list is unavailable")
		return
	}
	writeJSON(w, http.StatusOK, p.delayedList())
}
