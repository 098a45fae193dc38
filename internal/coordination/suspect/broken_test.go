package suspect_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
)

func TestUnrefusedDialUsesUpBrokenExchange(t *testing.T) {
	Convey("an exchange that broke", t, func() {
		b := suspect.NewBrokenExchanges()
		deadly := suspect.BrokenExchange{
			Exchange: suspect.Exchange{Parts: []string{"x"}, Answering: true, SentAt: instant(900)}, Digest: "d", Service: "llm", BrokenAt: instant(1000),
		}
		b.Record("e1", deadly)
		Convey("is returned when the endpoint refuses connections, after a dial that was not refused", func() {
			So(b.Crashed(instant(1100), "e1", false), ShouldResemble, []suspect.BrokenExchange{deadly})
			So(b.Crashed(instant(1200), "e1", false), ShouldBeEmpty)
			So(b.Crashed(instant(1300), "e1", true), ShouldResemble, []suspect.BrokenExchange{deadly})
			So(b.Crashed(instant(1400), "e1", true), ShouldBeEmpty)
		})
		Convey("is returned once if its answer had begun", func() {
			begun := deadly
			begun.Begun = true
			b.Record("e2", begun)
			So(b.Crashed(instant(1100), "e2", false), ShouldHaveLength, 1)
			So(b.Crashed(instant(1200), "e2", true), ShouldBeEmpty)
		})
		Convey("is too old for a crash after two seconds, also once others have broken", func() {
			So(b.Crashed(instant(3000), "e1", true), ShouldBeEmpty)
			late := deadly
			late.BrokenAt = instant(2900)
			b.Record("e1", late)
			So(b.Crashed(instant(3000), "e1", true), ShouldResemble, []suspect.BrokenExchange{late})
		})
	})
}
