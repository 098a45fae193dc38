package piece

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Tokens is the length of a complete piece, in tokens.
const Tokens = 2048

// BytesPerToken is the average length of a token's text, in bytes. It is used to estimate token counts.
const BytesPerToken = 4

// nameBytes is the length of a piece's name, in bytes, before its encoding in hexadecimal digits.
const nameBytes = 16

// Scope holds everything besides the text on which the content of a piece depends.
type Scope struct {
	Workspace string
	Model     string
	Version   string
	Adapter   string
}

// Name is the digest of a scope, the parent piece and the content, in hexadecimal digits.
type Name string

// Names divides a context into complete pieces and returns their names in order. An incomplete last piece has no name.
//
// The name of a piece depends on all pieces before it, so that equal names mean equal prefixes:
//
//	Names(s, "AB") = [h(s, "", A), h(s, h(s, "", A), B)]
//
// It also depends on the scope, so that another workspace or weight version never gets the same name.
func Names(scope Scope, context string) []Name {
	size := Tokens * BytesPerToken
	names := make([]Name, 0, len(context)/size)
	parent := Name("")
	for len(context) >= size {
		parent = nextName(scope, parent, context[:size])
		names = append(names, parent)
		context = context[size:]
	}
	return names
}

// EstimateTokens returns the estimated length of a text, in tokens.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

func nextName(scope Scope, parent Name, content string) Name {
	h := blake3.New()
	for _, field := range []string{scope.Workspace, scope.Model, scope.Version, scope.Adapter, string(parent), content} {
		writeField(h, field)
	}
	sum := h.Sum(nil)
	return Name(hex.EncodeToString(sum[:nameBytes]))
}

// writeField writes a field after its length, so that ("ab", "c") and ("a", "bc") differ.
func writeField(h *blake3.Hasher, field string) {
	n := len(field)
	prefix := []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
	// Write on a hash never returns an error.
	_, _ = h.Write(prefix)
	_, _ = h.WriteString(field)
}
