package suspect_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/state/clock"
)

// inferenceEvent is one event at a time in milliseconds, written as "what endpoint argument". Endpoints are named by their zone and a number; all
// have the start time 1. Exchanges are named by their digests, each with its own part and the part "s".
//
//	broke z1 d      the exchange d with z1 broke; it had been sent 50 ms before
//	begun z1 d      the same, after a complete event of its answer
//	dial z1         a connection failed; refused z1: it was refused
//	head z2 150     z2 responded to what was sent 150 ms before
//	listed z1 2     z1 was listed with a start time of 2
//	report z1 1     a report of z1's incarnation was requested 10 ms before
type inferenceEvent struct {
	at   int
	what string
}

// replayInference replays events at an instance in zone "a", and returns the changes: "+z1:d" for a crash of z1 that counts against d, "-z1" for
// one that is retracted, and "!z1" for one that is retracted since the endpoint is alive.
func replayInference(answered bool, events ...inferenceEvent) string {
	inference := suspect.NewInference("a", func(_, part string, _ clock.Instant) bool { return answered && part == "s" })
	var text []string
	for _, e := range events {
		now := instant(e.at)
		var kind, id, argument string
		_, _ = fmt.Sscan(e.what, &kind, &id, &argument)
		number := 0
		_, _ = fmt.Sscan(argument, &number)
		endpoint := suspect.Endpoint{ID: id, Zone: id[:1], StartMilli: 1, ZoneUnreachable: id[:1] == "u"}
		var changes []suspect.Change
		switch kind {
		case "broke", "begun":
			changes = inference.Broke(now, endpoint, suspect.BrokenExchange{
				Exchange: suspect.Exchange{Parts: []string{"s", argument}, SentAt: now.Add(-50 * time.Millisecond)}, Digest: argument, Service: "llm", BrokenAt: now,
				Begun: kind == "begun",
			})
		case "dial", "refused":
			changes = inference.DialFailed(now, endpoint, kind == "refused")
		case "head":
			changes = inference.Responded(now, endpoint, now.Add(-time.Duration(number)*time.Millisecond))
		case "listed":
			changes = inference.Listed(now, now, func(listed string) (int64, bool) { return int64(number), listed == id })
		case "report":
			changes = inference.Reported(now, id, int64(number), now.Add(-10*time.Millisecond))
		}
		for _, c := range changes {
			switch {
			case c.Alive:
				text = append(text, "!"+c.Endpoint)
			case c.Retracted:
				text = append(text, "-"+c.Endpoint)
			}
			var digests []string
			for _, b := range c.Exchanges {
				digests = append(digests, b.Digest)
			}
			if len(digests) > 0 {
				text = append(text, "+"+c.Endpoint+":"+strings.Join(digests, ","))
			}
		}
	}
	slices.Sort(text)
	return strings.Join(text, " ")
}

func TestInference(t *testing.T) {
	Convey("an endpoint whose exchange broke", t, func() {
		for _, c := range []struct {
			name   string
			want   string
			events []inferenceEvent
		}{
			{"has crashed if it refuses connections", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {200, "refused z1"}}},
			{"has crashed if it refuses connections after a dial that was not refused", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "dial z1"}, {200, "refused z1"}}},
			{"hasn't if a dial fails otherwise, as in a cut", "", []inferenceEvent{{100, "broke z1 d"}, {101, "dial z1"}}},
			{"hasn't if it refuses connections two seconds later", "", []inferenceEvent{{100, "broke z1 d"}, {2100, "refused z1"}}},
			{"hasn't crashed with what broke two seconds before it refuses connections, but with what broke later", "+z1:late", []inferenceEvent{{1000, "broke z1 d"}, {2900, "broke z1 late"}, {3000, "refused z1"}}},
			{"has crashed once, also if the answer had begun", "+z1:d", []inferenceEvent{{100, "begun z1 d"}, {101, "dial z1"}, {200, "refused z1"}, {300, "refused z1"}}},
			{"has crashed if it registers with a new start time", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "dial z1"}, {7000, "listed z1 2"}, {8000, "listed z1 2"}}},
			{"has crashed if it registers anew after it has responded again", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "head z1 0"}, {900, "listed z1 2"}}},
			{"hasn't crashed if it registers anew long after it has accepted a connection", "", []inferenceEvent{{100, "broke z1 d"}, {101, "head z1 0"}, {4000, "listed z1 2"}}},
			{"has crashed if it registers anew long after it refused one in a cut", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "dial z1"}, {8000, "listed z1 2"}}},
			{"has crashed once although it refused connections and registered anew", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {3000, "listed z1 2"}}},
			{"hasn't crashed if an older list shows an earlier incarnation", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {6000, "listed z1 0"}}},
			{"is alive if its incarnation is listed longer than a registration lasts", "!z1 +z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {4900, "listed z1 1"}, {5100, "listed z1 1"}}},
			{"may have crashed while its registration has not expired", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {3500, "listed z1 1"}}},
			{"is alive if its incarnation reports", "!z1 +z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {600, "report z1 1"}}},
			{"isn't shown alive by the report of another incarnation", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {600, "report z1 2"}}},
			{"is alive if an earlier exchange goes on", "!z1 +z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {400, "head z1 350"}}},
			{"isn't shown alive by what it had sent before", "+z1:d", []inferenceEvent{{100, "broke z1 d"}, {101, "refused z1"}, {120, "head z1 80"}}},
			{"is waited for if its zone is avoided", "", []inferenceEvent{{100, "broke u1 d"}, {101, "refused u1"}, {5500, "listed u1 1"}}},
		} {
			Convey(c.name, func() { So(replayInference(true, c.events...), ShouldEqual, c.want) })
		}
	})
	Convey("endpoints that fail at the same moment", t, func() {
		two := func(first, second string) []inferenceEvent {
			return []inferenceEvent{{100, "broke z1 " + first}, {101, "refused z1"}, {120, "broke z2 " + second}, {121, "refused z2"}}
		}
		then := func(events []inferenceEvent, more ...inferenceEvent) []inferenceEvent { return append(events, more...) }
		silent := []inferenceEvent{{100, "broke z1 c"}, {101, "refused z1"}, {3000, "broke z2 d"}, {3001, "refused z2"}}
		for _, c := range []struct {
			name     string
			want     string
			answered bool
			events   []inferenceEvent
		}{
			{"with unrelated requests are waited for", "+z1:c -z1", true, two("c", "d")},
			{"with unrelated requests have crashed if they register anew", "+z1:c +z1:c +z2:d -z1", true, then(two("c", "d"), inferenceEvent{2000, "listed z1 2"}, inferenceEvent{2000, "listed z2 2"})},
			{"with one request have crashed", "+z1:c +z2:c", true, two("c", "c")},
			{"with one part that has no answer have crashed", "+z1:c +z2:d", false, two("c", "d")},
			{"with unrelated requests have crashed if as many others respond soon", "+z1:c +z1:c +z2:d -z1", true, then(two("c", "d"), inferenceEvent{400, "head z3 10"}, inferenceEvent{410, "head z4 10"})},
			{"with unrelated requests are waited for if others respond after a cut", "+z1:c -z1", true, then(two("c", "d"), inferenceEvent{8000, "head z3 10"}, inferenceEvent{8010, "head z4 10"})},
			{"with unrelated requests are waited for if fewer others respond", "+z1:c -z1", true, then(two("c", "d"), inferenceEvent{400, "head z3 10"})},
			{"in several zones are waited for", "+b1:c -b1", true, []inferenceEvent{{100, "broke b1 c"}, {101, "refused b1"}, {120, "broke z2 d"}, {121, "refused z2"}}},
			{"or later, with nothing from their zone in between, are waited for", "+z1:c -z1", true, silent},
			{"or later, with a response from their zone in between, have crashed", "+z1:c +z2:d", true, slices.Insert(slices.Clone(silent), 2, inferenceEvent{2000, "head z2 10"})},
		} {
			Convey(c.name, func() { So(replayInference(c.answered, c.events...), ShouldEqual, c.want) })
		}
	})
	Convey("a crash that another instance has reported", t, func() {
		inference := suspect.NewInference("a", func(string, string, clock.Instant) bool { return false })
		inference.Claimed(instant(101), "z1", &suspect.BrokenExchange{Digest: "d", StartMilli: 1, BrokenAt: instant(100)})
		want := suspect.Change{Endpoint: "z1", Retracted: true, Alive: true, First: instant(100), Last: instant(100)}
		Convey("is refuted by a report of the incarnation", func() {
			So(inference.Reported(instant(500), "z1", 1, instant(400)), ShouldResemble, []suspect.Change{want})
			So(inference.Empty(), ShouldBeTrue)
		})
		Convey("is refuted by its registration, which all instances read", func() {
			started := func(string) (int64, bool) { return 1, true }
			So(inference.Listed(instant(4000), instant(4000), started), ShouldBeEmpty)
			want.Known = true
			So(inference.Listed(instant(5100), instant(5100), started), ShouldResemble, []suspect.Change{want})
		})
	})
}

func TestRetraction(t *testing.T) {
	Convey("a crash that two instances have counted against a request", t, func() {
		table, parts := suspect.NewTable(), suspect.NewPartTable()
		record := func(endpoint, witness string, at int) {
			table.RecordReport(start.Add(time.Duration(at)*time.Millisecond), "x", endpoint, witness)
			parts.RecordCrash(instant(at), endpoint, instant(at), suspect.Exchange{Parts: []string{"p"}, Answering: true, SentAt: instant(at - 100), Witness: witness})
		}
		record("e1", "", 20000)
		record("e1", "peer", 20010)
		record("e2", "", 23000)
		retract := func(witness string, all bool) {
			table.Retract("e1", start.Add(20*time.Second), start.Add(20*time.Second), witness, all)
			parts.Retract("e1", instant(20000), instant(20000), witness, all)
		}
		status := func() []suspect.Status {
			byParts, _ := parts.Check(instant(24000), []string{"p"})
			return []suspect.Status{table.Status(start.Add(24*time.Second), "x"), byParts}
		}
		So(status(), ShouldResemble, []suspect.Status{suspect.Blocked, suspect.Blocked})
		Convey("counts until both have taken it back", func() {
			retract("peer", false)
			So(status(), ShouldResemble, []suspect.Status{suspect.Blocked, suspect.Blocked})
			retract("", false)
			So(status(), ShouldResemble, []suspect.Status{suspect.Suspected, suspect.Suspected})
		})
		Convey("doesn't count any more once the endpoint has proved to be alive", func() {
			retract("", true)
			So(status(), ShouldResemble, []suspect.Status{suspect.Suspected, suspect.Suspected})
		})
	})
	Convey("a report that arrives later than its retraction", t, func() {
		r := suspect.NewRetractions()
		r.Record(instant(0), "peer", "e1", 7)
		So(r.Covers("peer", "e1", 6), ShouldBeTrue)
		So(r.Covers("peer", "e1", 8), ShouldBeFalse)
		So(r.Covers("peer", "e2", 6), ShouldBeFalse)
		So(r.Covers("another", "e1", 6), ShouldBeFalse)
		So(r.Covers("peer", "e1", 0), ShouldBeFalse)
	})
}
