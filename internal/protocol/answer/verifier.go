package answer

import (
	"encoding/hex"
	"fmt"
	"hash"

	"github.com/pkg/errors"
	"github.com/zeebo/blake3"

	"gypsumvale/internal/protocol/engine"
)

// Errors of streams, matched with errors.Is.
var (
	// ErrOtherAttempt says that a chunk belongs to another attempt and must be dropped.
	ErrOtherAttempt = errors.New("chunk of another attempt")
	// ErrRepeated says that a chunk has come before and must be dropped.
	ErrRepeated = errors.New("chunk repeated")
	// ErrMissingChunks says that chunks are missing, so that the stream must be resumed.
	ErrMissingChunks = errors.New("chunks missing")
	// ErrWrongVersion says that the engine ran another weight version than the request is bound to.
	ErrWrongVersion = errors.New("answer from another weight version")
	// ErrDigestMismatch says that the answer doesn't match the digest that the engine sent with the end.
	ErrDigestMismatch = errors.New("answer does not match its digest")
)

// Verifier takes the chunks of one answer, over one or more attempts.
type Verifier struct {
	Version string

	attempt string
	next    int
	digest  hash.Hash
	done    bool
}

// NewVerifier returns a verifier for an answer bound to a weight version.
func NewVerifier(version string) *Verifier {
	return &Verifier{Version: version, digest: blake3.New()}
}

// Begin starts or resumes the stream under an attempt, and returns the first token that is wanted.
func (v *Verifier) Begin(attempt string) (from int) {
	v.attempt = attempt
	return v.next
}

// Verify checks a chunk; a nil error means that its text goes to the caller.
func (v *Verifier) Verify(c *engine.Chunk) error {
	if c.Attempt != v.attempt {
		return fmt.Errorf("attempt %.40q: %w", c.Attempt, ErrOtherAttempt)
	}
	if c.Version != v.Version {
		return fmt.Errorf("version %q instead of %q: %w", c.Version, v.Version, ErrWrongVersion)
	}
	if c.End {
		return v.end(c)
	}
	if c.Seq < v.next {
		return fmt.Errorf("chunk %d: %w", c.Seq, ErrRepeated)
	}
	if c.Seq > v.next {
		return fmt.Errorf("chunk %d instead of %d: %w", c.Seq, v.next, ErrMissingChunks)
	}
	v.next++
	// A hash never returns an error.
	_, _ = v.digest.Write([]byte(c.Text))
	return nil
}

func (v *Verifier) end(c *engine.Chunk) error {
	if c.Count != v.next {
		return fmt.Errorf("end after %d of %d chunks: %w", v.next, c.Count, ErrMissingChunks)
	}
	if hex.EncodeToString(v.digest.Sum(nil)) != c.Digest {
		return fmt.Errorf("digest: %w", ErrDigestMismatch)
	}
	v.done = true
	return nil
}

// Done reports whether the whole answer has been verified.
func (v *Verifier) Done() bool { return v.done }

// Count returns the number of chunks taken.
func (v *Verifier) Count() int { return v.next }

// Digest returns the digest of a whole answer, as an engine sends it with the end.
func Digest(chunks []string) string {
	h := blake3.New()
	for _, text := range chunks {
		// A hasher never returns an error.
		_, _ = h.WriteString(text)
	}
	return hex.EncodeToString(h.Sum(nil))
}
