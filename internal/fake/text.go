package fake

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

var lexicon = []string{
	"chestnut", "lantern", "riad", "sack", "market", "garland", "stall", "courtyard",
	"roast", "bulb", "kitchen", "souk", "harbour", "wire", "shelter", "verdict",
}

const (
	leastAnswer  = 16   // tokens
	answerSpread = 1024 // tokens
)

// Token returns token i of the answer that every fake engine gives to a
// prompt.
func Token(model, prompt string, i int) string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i)+textHash(model, prompt))
	return lexicon[xxhash.Sum64(b[:])%uint64(len(lexicon))] + " "
}

// AnswerLength returns the number of tokens in the answer to a prompt.
func AnswerLength(model, prompt string, most int) int {
	return min(most, leastAnswer+int(textHash(model, prompt)%answerSpread))
}

// Text returns the whole answer to a prompt.
func Text(model, prompt string, most int) string {
	var out []byte
	for i := range AnswerLength(model, prompt, most) {
		out = append(out, Token(model, prompt, i)...)
	}
	return string(out)
}

func textHash(model, prompt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(prompt)
	return h.Sum64()
}
