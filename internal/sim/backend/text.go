// Package backend models what stands behind dalehook: model engines with
// continuous batching and service servers. The models run on the simulator's
// kernel and keep their own counts, which the properties are checked against.
package backend

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"dalehook/internal/cluster"
)

// TokenBytes is the length of every token's text.
const TokenBytes = 4

// alphabetTokens is the length of the table that all texts are cut from.
const alphabetTokens = 1 << 17

// MaxTextTokens is the longest text that Text can give.
const MaxTextTokens = alphabetTokens / 2

var alphabet = newAlphabet()

func newAlphabet() string {
	random := rand.New(rand.NewPCG(1, 2))
	letters := make([]byte, alphabetTokens*TokenBytes)
	for i := range letters {
		letters[i] = byte('a' + random.IntN(26))
	}
	return string(letters)
}

// Text returns the tokens [from, to) that a version of a model answers to a
// prompt. Prompt and version decide it, so whoever knows them can compute the
// whole text again.
func Text(prompt string, version cluster.Version, from, to int) string {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(uint64(version) >> (8 * i))
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(seed[:])
	start := int(digest.Sum64() % (alphabetTokens - MaxTextTokens))
	return alphabet[(start+from)*TokenBytes : (start+to)*TokenBytes]
}
