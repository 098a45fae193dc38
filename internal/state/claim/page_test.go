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

func takeover(key, request, nonce, invalidated byte) claim.Op {
	o := op(claim.OpClaim, key, request, nonce)
	o.Invalidated, o.HasInvalidated = claim.Nonce{invalidated}, true
	return o
}

// expectVerdict applies changes to an empty page and checks the verdict on the last one.
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
	Convey("when changes are applied to a page,", t, func() {
		Convey("an absent key is granted", func() { expectVerdict(claim.VerdictGranted, claimed) })
		Convey("repeating a claim with the same nonce is granted", func() { expectVerdict(claim.VerdictGranted, claimed, claimed) })
		Convey("claiming a held key with another nonce is denied", func() {
			expectVerdict(claim.VerdictHeld, claimed, op(claim.OpClaim, 1, 1, 2))
		})
		Convey("claiming a key for another request is a mismatch", func() {
			expectVerdict(claim.VerdictMismatch, claimed, op(claim.OpClaim, 1, 2, 2))
		})
		Convey("a claim with an invalidated nonce is taken over", func() { expectVerdict(claim.VerdictGranted, claimed, takeover(1, 1, 2, 1)) })
		Convey("invalidating another nonce than the holder's takes nothing over", func() {
			expectVerdict(claim.VerdictHeld, claimed, takeover(1, 1, 2, 3))
		})
		Convey("a released key can be claimed with a new nonce", func() {
			expectVerdict(claim.VerdictGranted, claimed, op(claim.OpRelease, 1, 1, 1), op(claim.OpClaim, 1, 1, 2))
		})
		Convey("a released nonce can't claim the key again", func() {
			expectVerdict(claim.VerdictHeld, claimed, op(claim.OpRelease, 1, 1, 1), claimed)
		})
		Convey("a finished request can't be taken over", func() {
			expectVerdict(claim.VerdictDone, claimed, op(claim.OpFinish, 1, 1, 1), takeover(1, 1, 2, 1))
		})
		Convey("another nonce than the holder's can't finish the request", func() {
			expectVerdict(claim.VerdictNotHolder, claimed, op(claim.OpFinish, 1, 1, 2))
		})
	})
}

// TestOneRun checks with random sequences of changes that at most one nonce of a key is allowed to run the request.
func TestOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		page, err := claim.Decode(nil)
		if err != nil {
			t.Fatal(err)
		}
		// started holds the nonces that were granted a claim and not invalidated before. Their holders may have run the request.
		started := make(map[claim.Nonce]bool)
		invalidated := make(map[claim.Nonce]bool)
		n := rapid.IntRange(1, 60).Draw(t, "changes")
		for range n {
			nonce := claim.Nonce{byte(rapid.IntRange(1, 6).Draw(t, "nonce"))}
			o := claim.Op{Kind: claim.OpClaim, Key: claim.Digest{1}, Nonce: nonce}
			switch rapid.SampledFrom([]string{"claim", "takeover", "burn", "finish"}).Draw(t, "kind") {
			case "takeover":
				o.Invalidated = claim.Nonce{byte(rapid.IntRange(1, 6).Draw(t, "burnt"))}
				// A holder only invalidates nonces under which it will never start the request.
				o.HasInvalidated = invalidated[o.Invalidated]
			case "burn":
				if started[nonce] {
					continue
				}
				invalidated[nonce] = true
				o.Kind = claim.OpRelease
			case "finish":
				if !started[nonce] {
					continue
				}
				o.Kind = claim.OpFinish
			}
			result, _ := page.Apply(&o)
			if o.Kind == claim.OpClaim && result.Verdict == claim.VerdictGranted && !invalidated[nonce] {
				started[nonce] = true
			}
		}
		if len(started) > 1 {
			t.Fatalf("more than one nonce was allowed to run the request: %v", started)
		}
	})
}

func TestPageRoundTrip(t *testing.T) {
	Convey("a page is decoded as it was encoded", t, func() {
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
	Convey("a full page stays below the largest value of the key-value service", t, func() {
		page, err := claim.Decode(nil)
		So(err, ShouldBeNil)
		for i := range claim.MaxRecords + 5 {
			o := claim.Op{
				Kind: claim.OpClaim, Key: claim.Digest{byte(i), byte(i >> 8)}, Holder: "some-instance-e17#0123456789ab", Nonce: claim.Nonce{1},
			}
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
	Convey("a key", t, func() {
		Convey("with a current timestamp is accepted", func() { expectKey(id.String(), now, nil) })
		Convey("of another UUID version is malformed", func() { expectKey(uuid.NewString(), now, claim.ErrKeyMalformed) })
		Convey("that is not a UUID is malformed", func() { expectKey("booking 7", now, claim.ErrKeyMalformed) })
		Convey("older than the retention has expired", func() {
			expectKey(id.String(), now.Add(claim.Retention+time.Minute), claim.ErrKeyExpired)
		})
		Convey("further in the future than the clock skew is early", func() {
			expectKey(id.String(), now.Add(-claim.Skew-time.Minute), claim.ErrKeyEarly)
		})
		Convey("has another digest in another workspace", func() {
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
