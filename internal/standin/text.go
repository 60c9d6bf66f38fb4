package standin

import (
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortestAnswer is the smallest number of tokens of an answer.
	shortestAnswer = 16
	// tailExponent shapes the lengths: P(length > n) = (shortestAnswer/n)^tailExponent.
	tailExponent = 1.1
	// tokenLetters is the number of letters of a token, after its space.
	tokenLetters = 4
	alphabet     = "abcdefghijklmnopqrstuvwxyz234567"
)

// AnswerLength returns the number of tokens that an engine answers to a prompt.
// It depends on the prompt alone, has a heavy tail, and is at most maxTokens.
func AnswerLength(prompt string, maxTokens int) int {
	hash := mix(xxhash.Sum64String(prompt))
	uniform := (float64(hash>>11) + 1) / (1 << 53)
	length := shortestAnswer * math.Pow(uniform, -1/tailExponent)
	return int(min(length, float64(maxTokens)))
}

// AnswerText returns the tokens of the answer to a prompt from one index,
// inclusive, to another, exclusive. It depends on the prompt and the index
// alone, so that a checker can recompute the whole answer.
func AnswerText(prompt string, from, to int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	text.Grow((to - from) * (tokenLetters + 1))
	for index := from; index < to; index++ {
		writeToken(&text, mix(seed+uint64(index)+1))
	}
	return text.String()
}

func writeToken(text *strings.Builder, hash uint64) {
	text.WriteByte(' ')
	for range tokenLetters {
		text.WriteByte(alphabet[hash%uint64(len(alphabet))])
		hash /= uint64(len(alphabet))
	}
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
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
