package pinner

import (
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/timekeeper"
)

const (
	defaultCached   = 100_000
	defaultCacheAge = 5 * time.Minute
)

type (
	// Cache holds pins of the control group that this host has seen. It is
	// bounded and safe for concurrent use. Make it with NewCache.
	Cache struct {
		clock timekeeper.Clock
		age   time.Duration
		mu    sync.Mutex
		pins  *buffer.LRU[cacheKey, cached]
	}

	cacheKey struct{ workspace, session, model string }

	cached struct {
		version string
		until   time.Time
	}
)

// NewCache returns an empty cache for size pins that are kept for age. Zeros
// take 100,000 and 5 minutes.
func NewCache(clock timekeeper.Clock, size int, age time.Duration) *Cache {
	if size <= 0 {
		size = defaultCached
	}
	if age <= 0 {
		age = defaultCacheAge
	}
	return &Cache{clock: clock, age: age, pins: buffer.NewLRU[cacheKey, cached](size)}
}

// Get returns the pin of the session for the model.
func (c *Cache) Get(workspace, session, model string) (Pin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{workspace, session, model}
	v, ok := c.pins.Get(k)
	if !ok {
		return Pin{}, false
	}
	if !c.clock.Now().Before(v.until) {
		c.pins.Remove(k)
		return Pin{}, false
	}
	return Pin{Workspace: workspace, Session: session, Model: model, Version: v.version}, true
}

// Put stores a pin that the control group has confirmed.
func (c *Cache) Put(p Pin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins.Put(cacheKey{p.Workspace, p.Session, p.Model}, cached{p.Version, c.clock.Now().Add(c.age)})
}

// Remove forgets the pin of the session for the model.
func (c *Cache) Remove(workspace, session, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins.Remove(cacheKey{workspace, session, model})
}
