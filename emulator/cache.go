package emulator

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of one block of prompt text in the prefix cache.
	blockBytes = 256
	// bytesPerToken is the fixed number of prompt bytes per token.
	bytesPerToken = 4
	// BlockTokens is the number of prompt tokens in a prefix block.
	BlockTokens = blockBytes / bytesPerToken
	// maxCacheEvents bounds the event log; when it is full, the older half is
	// dropped.
	maxCacheEvents = 4096
)

type (
	// Cache is an LRU prefix cache of limited size. It is not safe for
	// concurrent use.
	Cache struct {
		maxBlocks int
		lru       *list.List // front is the most recently used
		index     map[uint64]*list.Element
		events    []CacheEvent
		seq       int64
		lossRate  float64
		rng       *rand.Rand
	}

	// CacheEvent records that a block was added to or evicted from a prefix
	// cache.
	CacheEvent struct {
		Seq  int64 `json:"seq"`
		Add  bool  `json:"add,omitempty"`
		Drop bool  `json:"drop,omitempty"`
		// Prefix is the hash of the block in hexadecimal.
		Prefix string `json:"prefix"`
		at     time.Time
	}

	// cacheEventsBody is the response to GET /cache/events.
	cacheEventsBody struct {
		Incarnation uint64       `json:"incarnation"`
		Next        int64        `json:"next"`
		Events      []CacheEvent `json:"events"`
	}
)

// NewCache returns an empty cache. The fraction lossRate of its events, 0 to 1,
// is dropped at random; their sequence numbers are skipped.
func NewCache(maxBlocks int, lossRate float64, seed uint64) *Cache {
	return &Cache{
		maxBlocks: maxBlocks, lossRate: lossRate, lru: list.New(),
		index: make(map[uint64]*list.Element), rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// PrefixHashes returns the chained hashes of the leading complete 256-byte
// blocks of a prompt: hash n is the xxhash of hash n-1 (8 bytes, big endian, 0 before
// the first) followed by block n.
func PrefixHashes(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/blockBytes)
	var buf [8 + blockBytes]byte
	var h uint64
	for len(prompt) >= blockBytes {
		binary.BigEndian.PutUint64(buf[:8], h)
		copy(buf[8:], prompt[:blockBytes])
		h = xxhash.Sum64(buf[:])
		out = append(out, h)
		prompt = prompt[blockBytes:]
	}
	return out
}

// Match returns how many leading blocks of prefix are cached and marks them as
// recently used.
func (c *Cache) Match(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.index[prefix[n]] != nil {
		n++
	}
	// Touch the last block first, so that it is evicted before the blocks
	// that it depends on.
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.index[prefix[i]])
	}
	return n
}

// Insert adds the blocks of a prompt and evicts the least recently used ones
// beyond the capacity.
func (c *Cache) Insert(prefix []uint64, now time.Time) {
	if len(prefix) > c.maxBlocks {
		prefix = prefix[:c.maxBlocks]
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		if e := c.index[prefix[i]]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.index[prefix[i]] = c.lru.PushFront(prefix[i])
		c.recordEvent(prefix[i], true, now)
	}
	for c.lru.Len() > c.maxBlocks {
		e := c.lru.Back()
		h := c.lru.Remove(e).(uint64)
		delete(c.index, h)
		c.recordEvent(h, false, now)
	}
}

// Clear removes all blocks and records an event for each.
func (c *Cache) Clear(now time.Time) {
	for h := range c.index {
		c.recordEvent(h, false, now)
	}
	c.index = make(map[uint64]*list.Element)
	c.lru.Init()
}

func (c *Cache) recordEvent(h uint64, add bool, now time.Time) {
	c.seq++
	if c.lossRate > 0 && c.rng.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Add: add, Drop: !add, Prefix: fmt.Sprintf("%016x", h), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// Since returns the events after sequence number seq, up to the time until, and
// the sequence number to pass in the next call.
func (c *Cache) Since(seq int64, until time.Time) ([]CacheEvent, int64) {
	out, next := []CacheEvent{}, seq
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
			next = e.Seq
		}
	}
	return out, next
}
