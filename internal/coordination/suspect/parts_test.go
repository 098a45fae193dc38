package suspect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/state/clock"
)

// partEvent is a crash or the beginning of an answer; at is in milliseconds.
type partEvent struct {
	at int
	// crashed is the engine that crashed, or empty for an answer.
	crashed string
	// sent is when the request was sent, in milliseconds.
	sent    int
	parts   string
	pending bool
}

func instant(ms int) clock.Instant { return clock.Instant(time.Duration(ms) * time.Millisecond) }

func applyPartEvents(events []partEvent) *suspect.PartTable {
	t := suspect.NewPartTable()
	for _, e := range events {
		parts := strings.Fields(e.parts)
		if e.crashed == "" {
			t.RecordAnswer(instant(e.at), parts)
			continue
		}
		t.RecordCrash(instant(e.at), e.crashed, instant(e.at), suspect.Exchange{Parts: parts, Answering: !e.pending, SentAt: instant(e.sent)})
	}
	return t
}

func TestPartTable(t *testing.T) {
	Convey("crashes attributed to parts of prompts", t, func() {
		for _, c := range []struct {
			name   string
			events []partEvent
			// at is when the requests are checked, in milliseconds.
			at                        int
			clear, suspected, blocked []string
		}{
			{
				name: "a part is suspected after one crash, unless an answer has begun shortly before",
				events: []partEvent{
					{at: 20000, parts: "a"}, {at: 20100, crashed: "e1", sent: 20050, parts: "a x"},
				},
				at: 20200, clear: []string{"a"}, suspected: []string{"a x", "x"},
			},
			{
				name: "two crashes at the beginning of an answer block the parts that had no answer since",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "a b x"}, {at: 20100, parts: "a b"},
					{at: 20300, crashed: "e2", sent: 20010, parts: "a b x"}, {at: 20400, parts: "a b"},
				},
				at: 20500, clear: []string{"a b", "b"}, blocked: []string{"a b x", "c x"},
			},
			{
				name: "parts that always come together block only together",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b x"}, {at: 20300, crashed: "e2", sent: 20010, parts: "b x"},
				},
				at: 20500, clear: []string{"c"}, suspected: []string{"b", "x c"}, blocked: []string{"b x"},
			},
			{
				name: "an answer to a request with one of them leaves the other",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b x"}, {at: 20300, crashed: "e2", sent: 20010, parts: "b x"},
					{at: 20400, parts: "b"},
				},
				at: 20500, clear: []string{"b"}, blocked: []string{"x c"},
			},
			{
				name: "another crash without one of them leaves the other",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b x"}, {at: 20300, crashed: "e2", sent: 20010, parts: "b x"},
					{at: 20700, crashed: "e3", sent: 20400, parts: "c x"},
				},
				at: 20800, blocked: []string{"x"},
			},
			{
				name: "crashes at one moment count once",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b"}, {at: 20010, crashed: "e2", sent: 19950, parts: "b"},
					{at: 20020, crashed: "e3", sent: 19950, parts: "b"},
				},
				at: 20100, suspected: []string{"b"},
			},
			{
				name: "engines killed one after the other count once for requests sent before",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b"}, {at: 20300, crashed: "e2", sent: 19950, parts: "b"},
					{at: 21000, crashed: "e3", sent: 19990, parts: "b"},
				},
				at: 21100, suspected: []string{"b"},
			},
			{
				name: "requests that waited count only if they were sent after the last crash",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b", pending: true}, {at: 20500, crashed: "e2", sent: 19950, parts: "b", pending: true},
					{at: 21000, crashed: "e3", sent: 19950, parts: "b", pending: true},
				},
				at: 21100, suspected: []string{"b"},
			},
			{
				name: "three crashes before the beginning of an answer block",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "b", pending: true}, {at: 20500, crashed: "e2", sent: 20100, parts: "b", pending: true},
					{at: 21000, crashed: "e3", sent: 20600, parts: "b", pending: true},
				},
				at: 21100, blocked: []string{"b"},
			},
			{
				name: "requests that waited beside one whose answer was beginning are not charged",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "c", pending: true}, {at: 20001, crashed: "e1", sent: 19900, parts: "x"},
				},
				at: 20100, clear: []string{"c"}, suspected: []string{"x"},
			},
			{
				name: "the report of the answer that was beginning lifts a block of those that waited, when it comes last",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "w", pending: true}, {at: 22000, crashed: "e2", sent: 21900, parts: "w", pending: true},
					{at: 24000, crashed: "e3", sent: 23900, parts: "w", pending: true}, {at: 24001, crashed: "e3", sent: 23900, parts: "x"},
				},
				at: 24100, suspected: []string{"w", "x"},
			},
			{
				name: "two reports of one crash count once",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "x"}, {at: 20500, crashed: "e1", sent: 20100, parts: "x"},
				},
				at: 20600, suspected: []string{"x"},
			},
			{
				name: "one request with blocked parts is tried again after the retention period",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "x"}, {at: 20300, crashed: "e2", sent: 20010, parts: "x"},
				},
				at: 700000, suspected: []string{"x"},
			},
			{
				name: "a crash after the retention period blocks at once",
				events: []partEvent{
					{at: 20000, crashed: "e1", sent: 19900, parts: "x"}, {at: 20300, crashed: "e2", sent: 20010, parts: "x"},
					{at: 700000, crashed: "e3", sent: 699900, parts: "x"},
				},
				at: 700100, blocked: []string{"x"},
			},
		} {
			Convey(c.name, func() {
				table := applyPartEvents(c.events)
				for want, requests := range map[suspect.Status][]string{
					suspect.Clear: c.clear, suspect.Suspected: c.suspected, suspect.Blocked: c.blocked,
				} {
					for _, parts := range requests {
						status, _ := table.Check(instant(c.at), strings.Fields(parts))
						So(fmt.Sprint(parts, " ", status), ShouldEqual, fmt.Sprint(parts, " ", want))
					}
				}
			})
		}
	})
	Convey("an answer returns the parts that it clears", t, func() {
		table := applyPartEvents([]partEvent{{at: 20000, crashed: "e1", sent: 19900, parts: "a x"}})
		So(table.RecordAnswer(instant(20100), []string{"a", "c"}), ShouldResemble, []string{"a"})
		So(table.RecordAnswer(instant(20200), []string{"a", "c"}), ShouldBeEmpty)
	})
	Convey("an answer that cleared a part of a crash is remembered among many others", t, func() {
		table := applyPartEvents([]partEvent{
			{at: 1000, crashed: "e1", sent: 900, parts: "s w"}, {at: 1200, parts: "w"}, {at: 1300, parts: "s"},
		})
		for i := range 17000 {
			table.RecordAnswer(instant(2000+i), []string{fmt.Sprint("p", i)})
		}
		blocked := table.RecordCrash(instant(60000), "e2", instant(60000), suspect.Exchange{Parts: []string{"w"}, Answering: true, SentAt: instant(59900)})
		So(blocked, ShouldBeEmpty)
	})
	Convey("the parts of a block that a check returned stay as they were while answers clear some", t, func() {
		table := suspect.NewPartTable()
		So(table.AddBlock(instant(0), []string{"b", "x"}), ShouldBeTrue)
		_, blocked := table.Check(instant(1), []string{"a", "b", "x"})
		table.RecordAnswer(instant(2), []string{"b"})
		So(blocked, ShouldResemble, []string{"b", "x"})
	})
	Convey("a late report of the crash before the last refutes a block", t, func() {
		table := applyPartEvents([]partEvent{
			{at: 10000, crashed: "e1", sent: 9900, parts: "s", pending: true}, {at: 10500, crashed: "e2", sent: 10400, parts: "s", pending: true},
			{at: 11000, crashed: "e3", sent: 10900, parts: "s", pending: true},
		})
		So(table.Blocks(instant(11100)), ShouldResemble, [][]string{{"s"}})
		table.RecordCrash(instant(11200), "e2", instant(10500), suspect.Exchange{Parts: []string{"x"}, Answering: true, SentAt: instant(10400)})
		So(table.Blocks(instant(11300)), ShouldBeEmpty)
	})
	Convey("an answer that is heard of late", t, func() {
		table := applyPartEvents([]partEvent{
			{at: 20000, crashed: "e1", sent: 19900, parts: "b"}, {at: 20300, crashed: "e2", sent: 20010, parts: "b"},
		})
		So(table.Blocks(instant(20900)), ShouldResemble, [][]string{{"b"}})
		Convey("lifts a block if it began after the last crash", func() {
			So(table.RecordAnswer(instant(20400), []string{"b"}), ShouldResemble, []string{"b"})
			So(table.Blocks(instant(21000)), ShouldBeEmpty)
			So(table.Empty(), ShouldBeTrue)
		})
		Convey("lifts a block if it began between the crashes, the second of which goes on counting", func() {
			So(table.RecordAnswer(instant(20100), []string{"b"}), ShouldBeEmpty)
			So(table.Blocks(instant(21000)), ShouldBeEmpty)
			table.RecordCrash(instant(21100), "e3", instant(21100), suspect.Exchange{Parts: []string{"b"}, Answering: true, SentAt: instant(21000)})
			So(table.Blocks(instant(21200)), ShouldResemble, [][]string{{"b"}})
		})
		Convey("leaves a block if it began before the crashes", func() {
			So(table.RecordAnswer(instant(19950), []string{"b"}), ShouldBeEmpty)
			So(table.Blocks(instant(21000)), ShouldResemble, [][]string{{"b"}})
		})
		Convey("leaves a block that another instance has found later", func() {
			other := suspect.NewPartTable()
			other.AddBlock(instant(20900), []string{"b"})
			So(other.RecordAnswer(instant(20400), []string{"b"}), ShouldBeEmpty)
			So(other.Blocks(instant(21000)), ShouldResemble, [][]string{{"b"}})
		})
		Convey("doesn't hide a later one that is known", func() {
			table.RecordAnswer(instant(20400), []string{"b"})
			table.RecordAnswer(instant(20100), []string{"b"})
			table.RecordCrash(instant(20500), "e2", instant(20300), suspect.Exchange{Parts: []string{"b"}, Answering: true, SentAt: instant(20010)})
			So(table.Empty(), ShouldBeTrue)
		})
	})
	Convey("the parts that answers have cleared since a crash are returned once", t, func() {
		table := applyPartEvents([]partEvent{
			{at: 19900, parts: "c"}, {at: 20300, parts: "b"}, {at: 20200, parts: "a"}, {at: 20000, crashed: "e1", sent: 19800, parts: "a b c x"},
		})
		parts, at := table.TakeAnswered("e1", instant(20010), []string{"a", "b", "c", "x"})
		So(parts, ShouldResemble, []string{"a", "b"})
		So(at, ShouldEqual, instant(20200))
		parts, _ = table.TakeAnswered("e1", instant(20020), []string{"b", "c"})
		So(parts, ShouldBeEmpty)
	})
	Convey("a block that another instance has found applies", t, func() {
		table := suspect.NewPartTable()
		So(table.AddBlock(instant(1000), []string{"x", "b"}), ShouldBeTrue)
		So(table.AddBlock(instant(1100), []string{"b", "x"}), ShouldBeFalse)
		status, _ := table.Check(instant(1200), []string{"a", "b", "x"})
		So(status, ShouldEqual, suspect.Blocked)
		So(table.Blocks(instant(1200)), ShouldResemble, [][]string{{"b", "x"}})
	})
	Convey("a block whose key in the store is replaced after an answer has cleared one of its parts applies", t, func() {
		table := suspect.NewPartTable()
		table.AddBlock(instant(1000), []string{"b", "x"})
		table.RecordAnswer(instant(2000), []string{"a", "b"})
		So(table.ExpireBlock(instant(3000), []string{"b", "x"}, [][]string{{"x"}}), ShouldBeFalse)
		status, _ := table.Check(instant(4000), []string{"a", "x"})
		So(status, ShouldEqual, suspect.Blocked)

		So(table.ExpireBlock(instant(5000), []string{"x"}, nil), ShouldBeTrue)
		status, _ = table.Check(instant(6000), []string{"a", "x"})
		So(status, ShouldEqual, suspect.Suspected)
	})
	Convey("a block that has ended applies again when another instance has found it anew", t, func() {
		table := suspect.NewPartTable()
		table.AddBlock(instant(1000), []string{"x"})
		table.ExpireBlock(instant(2000), []string{"x"}, nil)
		So(table.AddBlock(instant(3000), []string{"x"}), ShouldBeTrue)
		status, _ := table.Check(instant(4000), []string{"x"})
		So(status, ShouldEqual, suspect.Blocked)
		So(table.Blocks(instant(4000)), ShouldResemble, [][]string{{"x"}})
	})
}
