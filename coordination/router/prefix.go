package router

import "github.com/cespare/xxhash/v2"

const (
	blockTokens   = 2000            // tokens of a KV block
	bytesPerBlock = blockTokens * 4 // estimate, at 4 bytes per token
	maxPrefixes   = 1 << 16         // blocks in a prefixIndex
	maxHolders    = 4               // targets of one block in a prefixIndex
)

// Prefix returns the hash of each complete KV block of a prompt, or nil if the
// prompt is shorter than one block. A hash covers the model's name and the prompt
// from its start to the end of the block.
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

// prefixIndex records which targets were sent which blocks. It only approximates
// the targets' caches, as a target may have evicted a block since. It is cleared
// when it is full.
type prefixIndex struct {
	blocks map[uint64][]string // target names by block hash, oldest first
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{blocks: map[uint64][]string{}} }

// add records that a prompt with these blocks was sent to the target.
func (x *prefixIndex) add(name string, prefix []uint64) {
	if len(x.blocks)+len(prefix) > maxPrefixes {
		x.blocks = map[uint64][]string{}
	}
	for _, b := range prefix {
		held := x.blocks[b]
		if contains(held, name) {
			continue
		}
		if len(held) >= maxHolders {
			held = held[1:]
		}
		x.blocks[b] = append(held, name)
	}
}

// match returns the number of leading blocks that a target is assumed to hold.
func (x *prefixIndex) match(name string, prefix []uint64) int {
	for i, b := range prefix {
		if !contains(x.blocks[b], name) {
			return i
		}
	}
	return len(prefix)
}

// holders returns the names of the targets assumed to hold the longest part of
// a prefix.
func (x *prefixIndex) holders(prefix []uint64) []string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if held := x.blocks[prefix[i]]; len(held) > 0 {
			return held
		}
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
