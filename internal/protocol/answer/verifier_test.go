package answer_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/protocol/answer"
	"gypsumvale/internal/protocol/engine"
)

func chunk(attempt string, seq int) *engine.Chunk {
	return &engine.Chunk{Attempt: attempt, Version: "v1", Seq: seq, Text: fmt.Sprintf("t%d ", seq)}
}

func end(attempt string, count int) *engine.Chunk {
	chunks := make([]string, count)
	for i := range chunks {
		chunks[i] = chunk(attempt, i).Text
	}
	return &engine.Chunk{Attempt: attempt, Version: "v1", End: true, Count: count, Digest: answer.Digest(chunks)}
}

// expectVerify passes chunks to a verifier for the attempt "a" and checks the error of the last one.
func expectVerify(want error, chunks ...*engine.Chunk) {
	v := answer.NewVerifier("v1")
	v.Begin("a")
	var err error
	for _, c := range chunks {
		err = v.Verify(c)
	}
	if want == nil {
		So(err, ShouldBeNil)
		return
	}
	So(errors.Is(err, want), ShouldBeTrue)
	So(v.Done(), ShouldBeFalse)
}

func TestVerifier(t *testing.T) {
	other := chunk("a", 0)
	other.Version = "v2"
	damaged := end("a", 1)
	damaged.Digest = "0"
	Convey("a verifier", t, func() {
		Convey("accepts a complete answer", func() { expectVerify(nil, chunk("a", 0), chunk("a", 1), end("a", 2)) })
		Convey("refuses a chunk of another attempt", func() { expectVerify(answer.ErrOtherAttempt, chunk("b", 0)) })
		Convey("refuses a repeated chunk", func() { expectVerify(answer.ErrRepeated, chunk("a", 0), chunk("a", 0)) })
		Convey("detects a missing chunk", func() { expectVerify(answer.ErrMissingChunks, chunk("a", 1)) })
		Convey("detects an end before all chunks have arrived", func() { expectVerify(answer.ErrMissingChunks, chunk("a", 0), end("a", 2)) })
		Convey("refuses another weight version", func() { expectVerify(answer.ErrWrongVersion, other) })
		Convey("detects an answer that does not match its digest", func() { expectVerify(answer.ErrDigestMismatch, chunk("a", 0), damaged) })
		Convey("refuses the end of another attempt", func() { expectVerify(answer.ErrOtherAttempt, chunk("a", 0), end("b", 1)) })
	})
}

// TestResumedAnswers checks with random sequences of repeated, missing and foreign chunks over several attempts that the accepted chunks
// form the complete answer whenever the verifier is done.
func TestResumedAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tokens")
		v := answer.NewVerifier("v1")
		text := ""
		for attempt := 0; attempt < 50 && !v.Done(); attempt++ {
			name := fmt.Sprintf("a%d", attempt)
			next := v.Begin(name)
			for range rapid.IntRange(0, 30).Draw(t, "chunks") {
				seq := next
				if rapid.IntRange(0, 4).Draw(t, "disorder") == 0 {
					seq = rapid.IntRange(0, n).Draw(t, "seq")
				}
				from := rapid.SampledFrom([]string{name, name, name, "a0", "foreign"}).Draw(t, "from")
				c := chunk(from, seq)
				if seq >= n {
					c = end(from, n)
				}
				if v.Verify(c) == nil && !c.End {
					text += c.Text
				}
				next = v.Count()
			}
		}
		if !v.Done() {
			return
		}
		want := ""
		for i := range n {
			want += chunk("a", i).Text
		}
		if text != want {
			t.Fatalf("answer %q instead of %q", text, want)
		}
	})
}
