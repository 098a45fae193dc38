package loadsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/inflight"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// Peers sends messages to other instances.
type Peers interface {
	// CallPeer sends a message and decodes the reply to it.
	CallPeer(ctx context.Context, name string, kind peer.Kind, msg, reply any) error
	// NotifyPeer sends a message without waiting for a reply; it may be lost.
	NotifyPeer(name string, kind peer.Kind, msg any)
}

// Adopter counts running requests as load of this instance's own placement.
type Adopter interface {
	// AdoptRunning counts the running requests of an entry, and returns how many were not known.
	AdoptRunning(entry string, runs []peer.RunningRequest) int
}

// Streams knows where the streams of this instance began.
type Streams interface {
	// Streams returns those that may be taken up.
	Streams() []peer.StreamOrigin
}

// reportTimeout bounds the call with all running requests: some tens of KB to a leader that gets as many from all instances at once.
const reportTimeout = 500 * time.Millisecond

// Reporter tracks the running requests of this instance, and reports them to leaders that haven't placed them.
type Reporter struct {
	name, incarnation string
	log               *event.Log
	peers             Peers
	adopter           Adopter
	streams           Streams

	mu    sync.Mutex
	table *inflight.Table
}

// New returns a reporter for the instance with a name and an incarnation.
func New(name, incarnation string, log *event.Log, peers Peers, adopter Adopter, streams Streams) *Reporter {
	return &Reporter{
		name: name, incarnation: incarnation, log: log, peers: peers, adopter: adopter, streams: streams, table: inflight.NewTable(),
	}
}

// Placed records a request that an owner has placed; an empty owner is this instance. Only prompts for engines are tracked: calls to plain
// services are placed by each instance alone.
func (r *Reporter) Placed(req *placement.Request, choice *placement.Choice, owner string) {
	if req.Model == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Placed(req, choice, owner)
}

// FirstEvent records a request's first event, and returns the instances to be told of it besides the one that placed it.
func (r *Reporter) FirstEvent(number uint64, owner string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others(r.table.FirstEvent(number), owner)
}

// End records the end of a request, and returns the instances to be told of it besides the one that placed it.
func (r *Reporter) End(number uint64, owner string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others(r.table.End(number), owner)
}

// others removes the instance that placed a request from a list; the own name stands for this instance like an empty one.
func (r *Reporter) others(owners []string, owner string) []string {
	return slices.DeleteFunc(owners, func(name string) bool {
		return name == owner || owner == "" && name == r.name
	})
}

// ReportDue reports whether a leader that is another instance has to be told of requests that were placed without it.
func (r *Reporter) ReportDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.ReportDue()
}

// Report tells a leader of the running requests that it hasn't placed and hasn't been told of. If it has lost what it knew, all is true.
func (r *Reporter) Report(ctx context.Context, leader string, all bool) {
	owner := leader
	if leader == r.name {
		owner = ""
	}
	r.mu.Lock()
	runs := r.table.BeginReport(owner, all)
	r.mu.Unlock()
	if runs == nil {
		return
	}
	// A leader asks again until it was told, so it is told of an empty list too.
	adopted, err := r.send(ctx, leader, runs)
	r.mu.Lock()
	ended := r.table.EndReport()
	r.mu.Unlock()
	for i := range ended {
		r.repeatEnd(leader, &ended[i])
	}
	r.log.Info(event.RunningReported, "leader was told of running requests", zap.String("leader", leader), zap.Int("running", len(runs)),
		zap.Int("adopted", adopted), zap.Int("ended", len(ended)), zap.Error(err))
}

// send sends the requests to a leader, which may be this instance, and returns how many it didn't know.
func (r *Reporter) send(ctx context.Context, leader string, runs []inflight.Run) (int, error) {
	now := clock.Now()
	list := make([]peer.RunningRequest, len(runs))
	for i := range runs {
		list[i] = peer.RunningRequest{
			Request: runs[i].Request, Choice: runs[i].Choice, Begun: runs[i].Begun, Deadline: runs[i].Request.Deadline.Sub(now),
		}
	}
	if leader == r.name {
		return r.adopter.AdoptRunning(r.incarnation, list), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply peer.RunningReply
	err := r.peers.CallPeer(ctx, leader, peer.KindRunning, peer.RunningReport{Runs: list, Streams: r.streams.Streams()}, &reply)
	return reply.Adopted, err
}

// repeatEnd reports the end of a request that ended while the leader was told of it.
func (r *Reporter) repeatEnd(leader string, run *inflight.Run) {
	if leader == r.name {
		return
	}
	r.peers.NotifyPeer(leader, peer.KindAssignmentUpdate, peer.AssignmentUpdate{
		Service: run.Request.Service, Number: run.Request.ID.Number, Outcome: placement.OutcomeWithdrawn,
	})
}
