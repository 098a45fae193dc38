package model

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns the n-th token, counted from zero, of the answer to a prompt under a weight version. It is deterministic, so that
// callers can verify what they receive.
func Token(prompt, version string, n int) string {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest never fail.
	_, _ = h.WriteString(version)
	_, _ = h.WriteString(prompt)
	_, _ = h.WriteString(strconv.Itoa(n))
	return strconv.FormatUint(h.Sum64()&0xffff, 36) + " "
}

// Answer returns the complete expected answer, for callers that verify what they received.
func Answer(prompt, version string, tokens int) string {
	text := ""
	for n := range tokens {
		text += Token(prompt, version, n)
	}
	return text
}
