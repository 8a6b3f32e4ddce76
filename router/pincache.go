package router

import (
	"sync"
	"time"

	"foxtailwall/pinner"
	"foxtailwall/timekeeper"
)

const (
	// maxPins bounds the pins cached on one host; each takes some 200 bytes.
	maxPins = 1 << 16
	// pinLife is the time for which a cached pin is used. It is far below
	// the retention of pins in the control group, so that a session in use
	// is asked for there before it is pruned.
	pinLife = 5 * time.Minute
)

type (
	// pinCache keeps the pins that the control group has confirmed.
	pinCache struct {
		clock timekeeper.Clock
		mu    sync.Mutex
		pins  map[pinKey]cachedPin
	}

	pinKey struct{ workspace, session, model string }

	cachedPin struct {
		pin pinner.Pin
		at  time.Time
	}
)

func (c *pinCache) get(k pinKey) (pinner.Pin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.pins[k]
	if !ok || c.clock.Since(e.at) > pinLife {
		return pinner.Pin{}, false
	}
	return e.pin, true
}

func (c *pinCache) put(p pinner.Pin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pins == nil {
		c.pins = make(map[pinKey]cachedPin)
	}
	if len(c.pins) >= maxPins {
		c.evict()
	}
	c.pins[pinKey{p.Workspace, p.Session, p.Model}] = cachedPin{pin: p, at: c.clock.Now()}
}

// evict drops the entries past their life, or else an arbitrary half: the
// control group still has them.
func (c *pinCache) evict() {
	for k, e := range c.pins {
		if c.clock.Since(e.at) > pinLife {
			delete(c.pins, k)
		}
	}
	for k := range c.pins {
		if len(c.pins) <= maxPins/2 {
			return
		}
		delete(c.pins, k)
	}
}
