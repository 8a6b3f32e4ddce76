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
	// blockBytes is the size of a prefix block of the cache.
	blockBytes = 256
	// bytesPerToken is the fixed length of a token of a prompt.
	bytesPerToken = 4
	// BlockTokens is the number of prompt tokens in a prefix block.
	BlockTokens = blockBytes / bytesPerToken
	// maxCacheEvents bounds the events kept; older ones are lost to readers.
	maxCacheEvents = 4096
)

type (
	// Cache is a prefix cache of limited size that evicts the least recently
	// used block. It is not safe for use by several goroutines.
	Cache struct {
		blocks int
		order  *list.List // front is the most recently used
		index  map[uint64]*list.Element
		events []CacheEvent
		seq    int64
		gap    float64
		rng    *rand.Rand
	}

	// CacheEvent says that a block entered or left a prefix cache.
	CacheEvent struct {
		Seq  int64 `json:"seq"`
		Add  bool  `json:"add,omitempty"`
		Drop bool  `json:"drop,omitempty"`
		// Prefix is the hash of the block in hexadecimal.
		Prefix string `json:"prefix"`
		at     time.Time
	}

	// cacheEvents is the response to GET /cache/events.
	cacheEvents struct {
		Incarnation uint64       `json:"incarnation"`
		Next        int64        `json:"next"`
		Events      []CacheEvent `json:"events"`
	}
)

// NewCache returns an empty cache. Of its events the share gap, 0 to 1, is
// lost; their sequence numbers are skipped.
func NewCache(blocks int, gap float64, seed uint64) *Cache {
	return &Cache{
		blocks: blocks, gap: gap, order: list.New(),
		index: make(map[uint64]*list.Element), rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// PrefixHashes returns the hashes of the leading whole blocks of 256 bytes of
// a prompt: hash n is the xxhash of hash n-1 (8 bytes, big endian, 0 before
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

// Match returns the number of leading blocks in the cache and marks them as
// used.
func (c *Cache) Match(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.index[prefix[n]] != nil {
		n++
	}
	// The deepest block is touched first, so that it is evicted before the
	// blocks that it depends on.
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.index[prefix[i]])
	}
	return n
}

// Insert adds the blocks of a prompt and evicts others as needed.
func (c *Cache) Insert(prefix []uint64, now time.Time) {
	if len(prefix) > c.blocks {
		prefix = prefix[:c.blocks]
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		if e := c.index[prefix[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.index[prefix[i]] = c.order.PushFront(prefix[i])
		c.event(prefix[i], true, now)
	}
	for c.order.Len() > c.blocks {
		e := c.order.Back()
		h := c.order.Remove(e).(uint64)
		delete(c.index, h)
		c.event(h, false, now)
	}
}

// Clear drops all blocks.
func (c *Cache) Clear(now time.Time) {
	for h := range c.index {
		c.event(h, false, now)
	}
	c.index = make(map[uint64]*list.Element)
	c.order.Init()
}

func (c *Cache) event(h uint64, add bool, now time.Time) {
	c.seq++
	if c.gap > 0 && c.rng.Float64() < c.gap {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Add: add, Drop: !add, Prefix: fmt.Sprintf("%016x", h), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// Since returns the events after seq that happened no later than until, and the
// sequence number to ask from next.
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
