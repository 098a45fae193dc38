package recall_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/recall"
	"gypsumvale/internal/state/piece"
)

func TestCost(t *testing.T) {
	rates := recall.Rates{PrefillPerSecond: 20480, TokenTime: 10 * time.Millisecond}
	expectCost := func(prompt, tokens, warm int, want time.Duration, class group.Class) {
		cost, got := rates.Cost(recall.Work{PromptTokens: prompt, MaxTokens: tokens}, warm)
		So(cost, ShouldEqual, want)
		So(got, ShouldEqual, class)
	}
	Convey("the service time of a request", t, func() {
		Convey("is its prefill and decode time", func() { expectCost(10*piece.Tokens, 10, 0, 1100*time.Millisecond, group.ClassShort) })
		Convey("excludes the prefill of cached pieces", func() { expectCost(10*piece.Tokens, 10, 10, 100*time.Millisecond, group.ClassShort) })
		Convey("is at least its decode time", func() { expectCost(piece.Tokens, 10, 10, 100*time.Millisecond, group.ClassShort) })
		Convey("makes it long from four seconds on", func() { expectCost(0, 400, 0, 4*time.Second, group.ClassLong) })
	})
}
