package fake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// BlockTokens is the number of tokens in one KV block.
const BlockTokens = 2000

const bytesPerBlock = BlockTokens * 4 // of prompt text

// CacheEvent reports that a block was added to the prefix cache or removed from
// it. The events of a real engine arrive late, and some are lost; gaps in Sequence
// show the losses.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
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
	size         int
	lossInterval int // every event whose sequence number is a multiple of it is lost; 0 for none
	order        *list.List
	blocks       map[uint64]*list.Element
	events       []CacheEvent
	next         int64
}

const maxEvents = 1024 // kept; older ones are dropped

func newPrefixCache(size, lossInterval int) *prefixCache {
	return &prefixCache{size: size, lossInterval: lossInterval, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them as
// used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(hashes)
}

// add adds blocks or marks them as used, and evicts the least recently used ones
// above the size of the cache.
func (c *prefixCache) add(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.emit(h, false)
		if c.order.Len() > c.size {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			c.emit(old, true)
		}
	}
}

// eventsAfter returns the events with a sequence number above after that occurred
// at the time before or earlier.
func (c *prefixCache) eventsAfter(after int64, before time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(before) {
			out = append(out, e)
		}
	}
	return out
}

// emit records an event, unless it is one that is lost.
func (c *prefixCache) emit(block uint64, removed bool) {
	c.next++
	if c.lossInterval > 0 && c.next%int64(c.lossInterval) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.next, Block: block, Removed: removed, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// blockCount returns the number of blocks that hold a number of tokens.
func blockCount(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

func promptTokens(prompt string) int { return radishspoke.PromptTokens(prompt) }
