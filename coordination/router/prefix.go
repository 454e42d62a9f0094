package router

import "github.com/cespare/xxhash/v2"

const (
	blockTokens   = 2000
	bytesPerBlock = blockTokens * 4
	maxPrefixes   = 1 << 16 // blocks remembered
	maxHolders    = 4       // targets remembered for one block
)

// Prefix returns a hash for each whole KV block of a prompt. Each covers the
// prompt from its start to the end of the block.
func Prefix(model, prompt string) []uint64 {
	if len(prompt) < bytesPerBlock {
		return nil
	}
	out := make([]uint64, 0, len(prompt)/bytesPerBlock)
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for len(prompt) >= bytesPerBlock {
		_, _ = h.WriteString(prompt[:bytesPerBlock])
		out = append(out, h.Sum64())
		prompt = prompt[bytesPerBlock:]
	}
	return out
}

// prefixIndex guesses which targets hold which blocks from what was sent to
// them. It is a hint only: a target may have let a block go. When it is full
// it starts again.
type prefixIndex struct {
	blocks map[uint64][]string
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{blocks: map[uint64][]string{}} }

func (x *prefixIndex) add(name string, prefix []uint64) {
	if len(x.blocks)+len(prefix) > maxPrefixes {
		x.blocks = map[uint64][]string{}
	}
	for _, b := range prefix {
		held := x.blocks[b]
		if holds(held, name) {
			continue
		}
		if len(held) >= maxHolders {
			held = held[1:]
		}
		x.blocks[b] = append(held, name)
	}
}

// match returns how many leading blocks a target is thought to hold.
func (x *prefixIndex) match(name string, prefix []uint64) int {
	for i, b := range prefix {
		if !holds(x.blocks[b], name) {
			return i
		}
	}
	return len(prefix)
}

// holders returns the targets thought to hold the longest part of a prefix.
func (x *prefixIndex) holders(prefix []uint64) []string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if held := x.blocks[prefix[i]]; len(held) > 0 {
			return held
		}
	}
	return nil
}

func holds(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
