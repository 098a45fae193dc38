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

func token(attempt string, seq int) *engine.Chunk {
	return &engine.Chunk{Attempt: attempt, Version: "v1", Seq: seq, Text: fmt.Sprintf("t%d ", seq)}
}

func end(attempt string, count int) *engine.Chunk {
	chunks := make([]string, count)
	for i := range chunks {
		chunks[i] = token(attempt, i).Text
	}
	return &engine.Chunk{Attempt: attempt, Version: "v1", End: true, Count: count, Digest: answer.Digest(chunks)}
}

// expectTake feeds chunks to a verifier under attempt a and checks the error of the last.
func expectTake(want error, chunks ...*engine.Chunk) {
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
	other := token("a", 0)
	other.Version = "v2"
	damaged := end("a", 1)
	damaged.Digest = "0"
	Convey("a verifier", t, func() {
		Convey("takes a whole answer", func() { expectTake(nil, token("a", 0), token("a", 1), end("a", 2)) })
		Convey("drops a foreign chunk", func() { expectTake(answer.ErrOtherAttempt, token("b", 0)) })
		Convey("drops a repeated chunk", func() { expectTake(answer.ErrRepeated, token("a", 0), token("a", 0)) })
		Convey("sees a gap", func() { expectTake(answer.ErrMissingChunks, token("a", 1)) })
		Convey("sees a short end", func() { expectTake(answer.ErrMissingChunks, token("a", 0), end("a", 2)) })
		Convey("sees another version", func() { expectTake(answer.ErrWrongVersion, other) })
		Convey("sees damage", func() { expectTake(answer.ErrDigestMismatch, token("a", 0), damaged) })
		Convey("does not take another attempt's end", func() { expectTake(answer.ErrOtherAttempt, token("a", 0), end("b", 1)) })
	})
}

// TestResumedAnswers checks that chunks in any disorder, over any number of attempts, give the whole answer or none.
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
				c := token(from, seq)
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
			want += token("a", i).Text
		}
		if text != want {
			t.Fatalf("answer %q instead of %q", text, want)
		}
	})
}
