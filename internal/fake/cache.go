package fake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// BlockTokens is the number of tokens in one KV block.
const BlockTokens = 2000

const bytesPerBlock = BlockTokens * 4

// CacheEvent says that a block has entered or left the prefix cache. Events
// of a real engine come late and with gaps; Sequence shows the gaps.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// BlockHashes returns a hash for each whole block of a prompt. Each covers
// the prompt from its start to the end of the block.
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

// prefixCache is a least-recently-used set of blocks.
type prefixCache struct {
	size   int
	gap    int // one event in so many is lost, none if zero
	order  *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
	next   int64
}

const keptEvents = 1024

func newPrefixCache(size, gap int) *prefixCache {
	return &prefixCache{size: size, gap: gap, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached, and marks them as used.
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

// since returns the events after a sequence number that happened before a
// moment.
func (c *prefixCache) since(after int64, before time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(before) {
			out = append(out, e)
		}
	}
	return out
}

func (c *prefixCache) emit(block uint64, removed bool) {
	c.next++
	if c.gap > 0 && c.next%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.next, Block: block, Removed: removed, at: time.Now()})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

func blocksOf(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

func promptTokens(prompt string) int { return radishspoke.PromptTokens(prompt) }
