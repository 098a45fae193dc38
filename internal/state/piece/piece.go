package piece

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Tokens is the length of one whole piece, in tokens.
const Tokens = 2048

// BytesPerToken is the mean length of a token's text, in bytes, used to estimate token counts.
const BytesPerToken = 4

// nameBytes is the length of a piece name before it is written in hexadecimal digits.
const nameBytes = 16

// Scope is all that a piece depends on besides its content.
type Scope struct {
	Workspace string
	Model     string
	Version   string
	Adapter   string
}

// Name is the digest of a scope, the parent piece and the content, in hexadecimal digits.
type Name string

// Names cuts a context into whole pieces and returns their names in order.
//
// A piece's name covers every piece before it, so that equal names mean equal prefixes:
//
//	Names(s, "AB") = [h(s, "", A), h(s, h(s, "", A), B)]
//
// The scope is in every name, so another workspace or weight version can't form it.
func Names(scope Scope, context string) []Name {
	size := Tokens * BytesPerToken
	names := make([]Name, 0, len(context)/size)
	parent := Name("")
	for len(context) >= size {
		parent = next(scope, parent, context[:size])
		names = append(names, parent)
		context = context[size:]
	}
	return names
}

// EstimateTokens estimates the length of a text, in tokens.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

func next(scope Scope, parent Name, content string) Name {
	h := blake3.New()
	for _, field := range []string{scope.Workspace, scope.Model, scope.Version, scope.Adapter, string(parent), content} {
		writeField(h, field)
	}
	sum := h.Sum(nil)
	return Name(hex.EncodeToString(sum[:nameBytes]))
}

// writeField puts a length before each field, so that ("ab", "c") and ("a", "bc") differ.
func writeField(h *blake3.Hasher, field string) {
	n := len(field)
	prefix := []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
	// A hasher never returns an error.
	_, _ = h.Write(prefix)
	_, _ = h.WriteString(field)
}
