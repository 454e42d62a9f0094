package fake

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of which answers consist.
var vocabulary = []string{
	"chestnut", "lantern", "riad", "sack", "market", "garland", "stall", "courtyard",
	"roast", "bulb", "kitchen", "souk", "harbour", "wire", "shelter", "verdict",
}

const (
	minAnswerTokens  = 16
	answerTokenRange = 1024 // number of possible lengths, from minAnswerTokens up
)

// AnswerToken returns the token with index i, from 0 on, of the answer to a prompt.
// The answer depends only on the model and the prompt, so that all fake engines give
// the same one.
func AnswerToken(model, prompt string, i int) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i)+textHash(model, prompt))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))] + " "
}

// AnswerLength returns the number of tokens in the answer to a prompt, which is at
// most maxTokens.
func AnswerLength(model, prompt string, maxTokens int) int {
	return min(maxTokens, minAnswerTokens+int(textHash(model, prompt)%answerTokenRange))
}

// AnswerText returns the complete answer to a prompt, of at most maxTokens
// tokens.
func AnswerText(model, prompt string, maxTokens int) string {
	var out []byte
	for i := range AnswerLength(model, prompt, maxTokens) {
		out = append(out, AnswerToken(model, prompt, i)...)
	}
	return string(out)
}

// textHash returns a hash of a model name and a prompt.
func textHash(model, prompt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(prompt)
	return h.Sum64()
}
