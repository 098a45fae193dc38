package loadsync_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/loadsync"
	"gypsumvale/internal/protocol/peer"
)

var errLost = errors.New("answer lost")

// fakePeers answers reports of running requests, after doing what happens meanwhile.
type fakePeers struct {
	meanwhile func()
	err       error
	reports   []peer.RunningReport
	ended     []uint64
}

func (f *fakePeers) CallPeer(_ context.Context, _ string, _ peer.Kind, msg, _ any) error {
	f.reports = append(f.reports, msg.(peer.RunningReport))
	if f.meanwhile != nil {
		f.meanwhile()
	}
	return f.err
}

func (f *fakePeers) NotifyPeer(_ string, _ peer.Kind, msg any) {
	f.ended = append(f.ended, msg.(peer.AssignmentUpdate).Number)
}

// fakeAdopter records what this instance adopts as the leader.
type fakeAdopter struct{ adopted int }

func (f *fakeAdopter) AdoptRunning(_ string, runs []peer.RunningRequest) int {
	f.adopted += len(runs)
	return len(runs)
}

// noStreams has no streams to tell.
type noStreams struct{}

func (noStreams) Streams() []peer.StreamOrigin { return nil }

// Guards against load that a leader counts until its deadline: a request that ends while the leader is told of it, or while the answer is lost.
func TestRequestEndsWhileLeaderIsTold(t *testing.T) {
	Convey("a reporter", t, func() {
		peers, adopter := &fakePeers{}, &fakeAdopter{}
		r := loadsync.New("self", "self-1", event.Discard(), peers, adopter, noStreams{})
		place := func(number uint64, model, owner string) {
			r.Placed(&placement.Request{ID: placement.AssignmentID{Number: number}, Model: model}, &placement.Choice{}, owner)
		}
		place(1, "m", "old")
		place(2, "m", "old")
		place(3, "", "")
		ctx := context.Background()
		Convey("reports prompts, and no calls to plain services", func() {
			r.Report(ctx, "new", false)
			So(peers.reports, ShouldHaveLength, 1)
			So(peers.reports[0].Runs, ShouldHaveLength, 2)
			So(r.End(1, "old"), ShouldResemble, []string{"new"})
		})
		Convey("repeats the end of a request that ended meanwhile", func() {
			peers.meanwhile = func() { r.End(2, "old") }
			r.Report(ctx, "new", false)
			So(peers.ended, ShouldResemble, []uint64{2})
		})
		Convey("repeats it also if the answer was lost", func() {
			peers.meanwhile, peers.err = func() { r.End(2, "old") }, errLost
			r.Report(ctx, "new", false)
			So(peers.ended, ShouldResemble, []uint64{2})
			So(r.End(1, "old"), ShouldResemble, []string{"new"})
		})
		Convey("counts its own requests itself once it leads", func() {
			r.Report(ctx, "self", false)
			So(peers.reports, ShouldBeEmpty)
			So(adopter.adopted, ShouldEqual, 2)
			So(r.End(1, "old"), ShouldResemble, []string{""})
		})
		Convey("answers a leader that asks, also if nothing runs", func() {
			r.End(1, "old")
			r.End(2, "old")
			r.Report(ctx, "new", true)
			So(peers.reports, ShouldHaveLength, 1)
		})
	})
}
