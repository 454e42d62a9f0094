package fake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// BlockTokens is the number of tokens in one KV block.
const BlockTokens = 2000

const bytesPerBlock = BlockTokens * 4 // of prompt text, at 4 bytes per token

// CacheEvent reports that a block was added to the prefix cache or removed from it.
// As on a real engine, events arrive late and some are lost. A gap in the sequence
// numbers shows a loss.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"` // hash; see BlockHashes
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// BlockHashes returns a hash for each complete block of a prompt. Each hash covers
// the model and the prompt from its start to the end of the block.
func BlockHashes(model, prompt string) []uint64 {
	var out []uint64
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for len(prompt) >= bytesPerBlock {
		_, _ = h.WriteString(prompt[:bytesPerBlock])
		out = append(out, h.Sum64())
		prompt = prompt[bytesPerBlock:]
	}
	return out
}

// prefixCache is a set of blocks with least-recently-used eviction. Its methods
// are not safe for concurrent use.
type prefixCache struct {
	capacity     int                      // in blocks
	lossInterval int                      // every event whose sequence number is a multiple of it is lost; 0 for none
	lru          *list.List               // block hashes, the most recently used one first
	blocks       map[uint64]*list.Element // elements of lru, by hash
	events       []CacheEvent             // ordered by sequence number
	lastSequence int64                    // sequence number of the last event, also if it was lost
}

const maxEvents = 1024 // number of cache events kept; older ones are dropped

func newPrefixCache(capacity, lossInterval int) *prefixCache {
	return &prefixCache{capacity: capacity, lossInterval: lossInterval, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them as
// used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(hashes)
}

// add adds blocks or marks them as used. It evicts the least recently used blocks
// when the cache is full.
func (c *prefixCache) add(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		c.emit(h, false)
		if c.lru.Len() > c.capacity {
			old := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.blocks, old)
			c.emit(old, true)
		}
	}
}

// eventsAfter returns the events with a sequence number above after that occurred
// no later than until.
func (c *prefixCache) eventsAfter(after int64, until time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}

// emit records an event for a block, or only counts it if it is to be lost.
func (c *prefixCache) emit(block uint64, removed bool) {
	c.lastSequence++
	if c.lossInterval > 0 && c.lastSequence%int64(c.lossInterval) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Block: block, Removed: removed, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// blockCount returns the number of blocks that are needed for a number of tokens.
func blockCount(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

func promptTokens(prompt string) int { return radishspoke.PromptTokens(prompt) }
