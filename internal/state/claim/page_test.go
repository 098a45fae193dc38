package claim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumvale/internal/state/claim"
)

func op(kind claim.OpKind, key, request, nonce byte) claim.Op {
	return claim.Op{Kind: kind, Key: claim.Digest{key}, Request: claim.Digest{request}, Holder: "h", Nonce: claim.Nonce{nonce}}
}

func takeover(key, request, nonce, burnt byte) claim.Op {
	o := op(claim.OpClaim, key, request, nonce)
	o.Invalidated, o.HasInvalidated = claim.Nonce{burnt}, true
	return o
}

// expectVerdict applies changes to an empty page and checks the verdict on the last.
func expectVerdict(want claim.Verdict, ops ...claim.Op) {
	page, err := claim.Decode(nil)
	So(err, ShouldBeNil)
	var got claim.Result
	for i := range ops {
		got, _ = page.Apply(&ops[i])
	}
	So(got.Verdict, ShouldEqual, want)
}

func TestApply(t *testing.T) {
	claimed := op(claim.OpClaim, 1, 1, 1)
	Convey("changes of a page", t, func() {
		Convey("an absent key is granted", func() { expectVerdict(claim.VerdictGranted, claimed) })
		Convey("a repeat of the same claim is granted", func() { expectVerdict(claim.VerdictGranted, claimed, claimed) })
		Convey("another nonce is held off", func() { expectVerdict(claim.VerdictHeld, claimed, op(claim.OpClaim, 1, 1, 2)) })
		Convey("another request is a mismatch", func() { expectVerdict(claim.VerdictMismatch, claimed, op(claim.OpClaim, 1, 2, 2)) })
		Convey("a burnt nonce is taken over", func() { expectVerdict(claim.VerdictGranted, claimed, takeover(1, 1, 2, 1)) })
		Convey("a wrong burnt nonce is not", func() { expectVerdict(claim.VerdictHeld, claimed, takeover(1, 1, 2, 3)) })
		Convey("a released key is granted again", func() {
			expectVerdict(claim.VerdictGranted, claimed, op(claim.OpRelease, 1, 1, 1), op(claim.OpClaim, 1, 1, 2))
		})
		Convey("a released nonce never claims again", func() {
			expectVerdict(claim.VerdictHeld, claimed, op(claim.OpRelease, 1, 1, 1), claimed)
		})
		Convey("a done key stays done", func() {
			expectVerdict(claim.VerdictDone, claimed, op(claim.OpFinish, 1, 1, 1), takeover(1, 1, 2, 1))
		})
		Convey("only the holder finishes", func() { expectVerdict(claim.VerdictNotHolder, claimed, op(claim.OpFinish, 1, 1, 2)) })
	})
}

// TestOneRun checks, over random changes, that no two nonces of one key are ever allowed to run.
func TestOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		page, err := claim.Decode(nil)
		if err != nil {
			t.Fatal(err)
		}
		// started holds nonces whose holder was granted and did not burn them; such a nonce may have an effect.
		started := make(map[claim.Nonce]bool)
		burnt := make(map[claim.Nonce]bool)
		n := rapid.IntRange(1, 60).Draw(t, "changes")
		for range n {
			nonce := claim.Nonce{byte(rapid.IntRange(1, 6).Draw(t, "nonce"))}
			o := claim.Op{Kind: claim.OpClaim, Key: claim.Digest{1}, Nonce: nonce}
			switch rapid.SampledFrom([]string{"claim", "takeover", "burn", "finish"}).Draw(t, "kind") {
			case "takeover":
				o.Invalidated = claim.Nonce{byte(rapid.IntRange(1, 6).Draw(t, "burnt"))}
				// A holder declares only nonces burnt that it will never start.
				o.HasInvalidated = burnt[o.Invalidated]
			case "burn":
				if started[nonce] {
					continue
				}
				burnt[nonce] = true
				o.Kind = claim.OpRelease
			case "finish":
				if !started[nonce] {
					continue
				}
				o.Kind = claim.OpFinish
			}
			result, _ := page.Apply(&o)
			if o.Kind == claim.OpClaim && result.Verdict == claim.VerdictGranted && !burnt[nonce] {
				started[nonce] = true
			}
		}
		if len(started) > 1 {
			t.Fatalf("nonces %v may all have run", started)
		}
	})
}

func TestPageRoundTrip(t *testing.T) {
	Convey("a page survives its encoding", t, func() {
		page, err := claim.Decode(nil)
		So(err, ShouldBeNil)
		claimed, finished := op(claim.OpClaim, 1, 2, 3), op(claim.OpFinish, 1, 2, 3)
		finished.Outcome = &claim.Outcome{Code: 200, Type: "text/plain", Body: []byte("done")}
		page.Apply(&claimed)
		page.Apply(&finished)
		data, err := page.Encode()
		So(err, ShouldBeNil)
		again, err := claim.Decode(data)
		So(err, ShouldBeNil)
		So(again.Find(claim.Digest{1}).Outcome.Body, ShouldResemble, []byte("done"))
	})
	Convey("a full page stays below the largest value", t, func() {
		page, err := claim.Decode(nil)
		So(err, ShouldBeNil)
		for i := range claim.MaxRecords + 5 {
			o := claim.Op{Kind: claim.OpClaim, Key: claim.Digest{byte(i), byte(i >> 8)}, Holder: "some-instance-e17#0123456789ab", Nonce: claim.Nonce{1}}
			page.Apply(&o)
			o.Kind = claim.OpFinish
			o.Outcome = &claim.Outcome{Code: 200, Type: "application/json", Body: make([]byte, claim.MaxOutcomeBytes)}
			page.Apply(&o)
		}
		data, err := page.Encode()
		So(err, ShouldBeNil)
		So(len(data), ShouldBeLessThan, 1<<20)
		So(len(page.Records), ShouldEqual, claim.MaxRecords)
	})
}

func TestParseKey(t *testing.T) {
	now := time.Now()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	expectKey := func(text string, at time.Time, want error) {
		_, err := claim.ParseKey("w", text, at)
		if want == nil {
			So(err, ShouldBeNil)
			return
		}
		So(err, ShouldWrap, want)
	}
	Convey("keys", t, func() {
		Convey("a fresh one is taken", func() { expectKey(id.String(), now, nil) })
		Convey("another version is malformed", func() { expectKey(uuid.NewString(), now, claim.ErrKeyMalformed) })
		Convey("text is malformed", func() { expectKey("booking 7", now, claim.ErrKeyMalformed) })
		Convey("an aged one has expired", func() { expectKey(id.String(), now.Add(claim.Retention+time.Minute), claim.ErrKeyExpired) })
		Convey("a future one is early", func() { expectKey(id.String(), now.Add(-claim.Skew-time.Minute), claim.ErrKeyEarly) })
		Convey("the workspace is in the digest", func() {
			a, errA := claim.ParseKey("a", id.String(), now)
			b, errB := claim.ParseKey("b", id.String(), now)
			So(errA, ShouldBeNil)
			So(errB, ShouldBeNil)
			So(a.Digest, ShouldNotEqual, b.Digest)
		})
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x90})
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := claim.Decode(data)
		if err != nil {
			return
		}
		if _, err := page.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
