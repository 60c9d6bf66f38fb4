package standin

import (
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCompletionTokens is the minimum completion length.
	minCompletionTokens = 16
	// paretoShape is the exponent of the Pareto distribution of lengths:
	// P(length > n) = (minCompletionTokens/n)^paretoShape.
	paretoShape = 1.1
	// lettersPerToken is the number of letters in a token after its leading space.
	lettersPerToken = 4
	alphabet        = "abcdefghijklmnopqrstuvwxyz234567"
)

// CompletionLength returns the number of tokens in the completion of a prompt. It
// is a function of the prompt, is heavy-tailed, and is capped at maxTokens.
func CompletionLength(prompt string, maxTokens int) int {
	hash := splitmix64(xxhash.Sum64String(prompt))
	uniform := (float64(hash>>11) + 1) / (1 << 53)
	length := minCompletionTokens * math.Pow(uniform, -1/paretoShape)
	return int(min(length, float64(maxTokens)))
}

// CompletionText returns the text of the tokens [from, to) of the completion of a
// prompt. It depends only on the prompt and the index, so that a checker can
// recompute the whole completion.
func CompletionText(prompt string, from, to int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	text.Grow((to - from) * (lettersPerToken + 1))
	for index := from; index < to; index++ {
		writeToken(&text, splitmix64(seed+uint64(index)+1))
	}
	return text.String()
}

func writeToken(text *strings.Builder, hash uint64) {
	text.WriteByte(' ')
	for range lettersPerToken {
		text.WriteByte(alphabet[hash%uint64(len(alphabet))])
		hash /= uint64(len(alphabet))
	}
}

// splitmix64 hashes a number with one step of the SplitMix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(prompt string) int {
	const bytesPerToken = 4
	return len(prompt)/bytesPerToken + 1
}
