package pinner

import (
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/timekeeper"
)

const (
	defaultCacheSize = 100_000
	defaultCacheTTL  = 5 * time.Minute
)

type (
	// Cache is a bounded cache of the pins that the control group has confirmed
	// to this host. It is safe for concurrent use. Create it with NewCache.
	Cache struct {
		clock timekeeper.Clock
		ttl   time.Duration
		mu    sync.Mutex
		pins  *buffer.LRU[cacheKey, cacheEntry]
	}

	cacheKey struct{ workspace, session, model string }

	cacheEntry struct {
		version string
		expires time.Time
	}
)

// NewCache returns an empty cache that holds up to size pins, each for ttl after
// its last Put. If zero, size is 100,000 and ttl is 5 minutes.
func NewCache(clock timekeeper.Clock, size int, ttl time.Duration) *Cache {
	if size <= 0 {
		size = defaultCacheSize
	}
	if ttl <= 0 {
		ttl = defaultCacheTTL
	}
	return &Cache{clock: clock, ttl: ttl, pins: buffer.NewLRU[cacheKey, cacheEntry](size)}
}

// Get returns the cached pin of the session for the model, and false if there is
// none or it has expired.
func (c *Cache) Get(workspace, session, model string) (Pin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{workspace, session, model}
	v, ok := c.pins.Get(k)
	if !ok {
		return Pin{}, false
	}
	if !c.clock.Now().Before(v.expires) {
		c.pins.Remove(k)
		return Pin{}, false
	}
	return Pin{Workspace: workspace, Session: session, Model: model, Version: v.version}, true
}

// Put stores a pin that the control group has confirmed.
func (c *Cache) Put(p Pin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins.Put(cacheKey{p.Workspace, p.Session, p.Model}, cacheEntry{p.Version, c.clock.Now().Add(c.ttl)})
}

// Remove evicts the pin of the session for the model.
func (c *Cache) Remove(workspace, session, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins.Remove(cacheKey{workspace, session, model})
}
