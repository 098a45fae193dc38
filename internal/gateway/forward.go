package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/isolation"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
	"gypsumvale/internal/transport/upstream"
)

// Headers of the answers to requests that a peer has handed over. They aren't sent to callers.
const (
	// headerRefusal is the reason why this system refused the request.
	headerRefusal = "Gypsum-Refusal"
	// headerEndpoint names the endpoint that answered and the start of its incarnation in Unix milliseconds.
	headerEndpoint = "Gypsum-Endpoint"
)

// maxHelpers is how many peers a request may be offered to.
const maxHelpers = 4

// unableReasons are the refusals of a helper that another one may not give.
var unableReasons = map[string]bool{
	reasonIsolated: true, reasonStopping: true, "no_configuration": true, "configuration_unconfirmed": true, "memory": true,
}

const (
	reasonIsolated = "endpoints_unreachable"
	reasonStopping = "stopping"
)

// forwarder hands requests over to peers while this instance is isolated.
type forwarder struct {
	node *Node
	pool *upstream.Pool

	mu      sync.Mutex
	helpers *isolation.Helpers
}

func newForwarder(n *Node) *forwarder {
	return &forwarder{node: n, pool: upstream.NewPool(func(string, error) {}), helpers: isolation.NewHelpers(n.cfg.Zone)}
}

// helper returns a peer that may serve a request, or false if there is none.
func (f *forwarder) helper() (isolation.Helper, bool) {
	peers := f.node.members.helpers()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.helpers.Select(clock.Now(), peers, rand.Float64())
}

// record records what came of handing a request over.
func (f *forwarder) record(name string, o isolation.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.helpers.Record(clock.Now(), name, o)
}

// helpers returns the peers that take requests over.
func (m *members) helpers() []isolation.Helper {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]isolation.Helper, 0, len(m.entries))
	for name, e := range m.entries {
		if name != m.node.cfg.Name && e.Forwards != "" {
			list = append(list, isolation.Helper{Name: name, Address: e.Forwards, Zone: e.Zone, Weight: e.Processor})
		}
	}
	return list
}

// serveForwarded serves a request that an isolated peer has handed over.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) { n.serve(w, r, true) }

// unable returns the refusal of a request that a peer has handed over though this instance can't serve it either, or nil.
func (j *job) unable() *refusal {
	switch {
	case !j.forwarded:
		return nil
	case j.node.links.isolated.Load():
		return unavailable(reasonIsolated, clock.Now().Add(shortRetryDelay))
	case j.node.stopping.Load():
		return unavailable(reasonStopping, clock.Now().Add(shortRetryDelay))
	}
	return nil
}

// describe adds to the head of an answer what only the peer that has handed the request over needs.
func (j *job) describe(h http.Header) {
	if !j.forwarded {
		return
	}
	endpoint := j.node.incarnationOf(&j.choice)
	h[headerEndpoint] = []string{endpoint.ID + " " + strconv.FormatInt(endpoint.StartMilli, 10)}
}

// takeDescription removes what a helper has added to the head of an answer, and returns the endpoint that it names, and the reason of its refusal.
func takeDescription(h http.Header) (endpoint registration.Incarnation, refusal string) {
	id, started, _ := strings.Cut(h.Get(headerEndpoint), " ")
	milli, err := strconv.ParseInt(started, 10, 64)
	if err == nil {
		endpoint = registration.Incarnation{ID: id, StartMilli: milli}
	}
	refusal = h.Get(headerRefusal)
	h.Del(headerEndpoint)
	h.Del(headerRefusal)
	return endpoint, refusal
}

// forward hands the request over to peers until one takes it. It returns the refusal of the request, or nil if the answer is ready or has been
// sent.
func (j *job) forward(ctx context.Context) *refusal {
	n := j.node
	for range maxHelpers {
		helper, ok := n.forwarder.helper()
		if !ok {
			break
		}
		j.helper = helper.Name
		refused, taken := j.forwardTo(ctx, &helper)
		if taken {
			return refused
		}
		if ctx.Err() != nil {
			return unavailable("deadline", clock.Now().Add(shortRetryDelay))
		}
	}
	n.metrics.Forwarded.WithLabelValues("no_helper").Inc()
	return unavailable(reasonIsolated, clock.Now().Add(shortRetryDelay))
}

// forwardTo hands the request over to a peer, and reports whether the peer has taken it.
func (j *job) forwardTo(ctx context.Context, helper *isolation.Helper) (refused *refusal, taken bool) {
	n, headers := j.node, j.node.deps.Headers
	header := j.head.Header.Clone()
	headers.WriteForwarded(header, &exchange.Forward{Key: j.head.Key, Deadline: j.deadline, LastEvent: j.lastEvent}, clock.Now())
	r := &upstream.Request{
		ID: j.head.ID, Method: j.r.Method, Target: j.target, Host: j.r.Host, Header: header, Body: j.body, HasBody: j.hasBody(),
		Match: func(status int, h http.Header) upstream.Match {
			if headers.ReadReply(status, h).ID == j.head.ID {
				return upstream.MatchOwn
			}
			return upstream.MatchOther
		},
	}
	j.headReceived, j.begun, j.sentAt = false, false, clock.Now()
	resp, err := n.forwarder.pool.Send(ctx, helper.Address, r)
	j.trace = r.Trace
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil:
		return nil, false
	case errors.Is(err, upstream.ErrNotSent):
		n.forwarder.record(helper.Name, isolation.Unreachable)
		return nil, false
	case err != nil:
		return j.abandonForward(err), true
	}
	defer resp.Close()
	endpoint, reason := takeDescription(resp.Header)
	reply := headers.ReadReply(resp.Status, resp.Header)
	if reason != "" {
		// Reading the rest allows the connection to be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes))
		if unableReasons[reason] && resp.Status == http.StatusServiceUnavailable {
			n.forwarder.record(helper.Name, isolation.Unable)
			return nil, false
		}
		n.forwarder.record(helper.Name, isolation.Helped)
		return j.refusedByHelper(resp, &reply, reason), true
	}
	n.forwarder.record(helper.Name, isolation.Helped)
	j.headReceived = true
	if endpoint.ID != "" {
		n.notices.record(endpoint, &reply)
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !reply.Sealed || !success && j.attempts.ResponseSent() {
		return j.abandonForward(errors.New("answer lacks the endpoint's seal, or can't go on with what was sent")), true
	}
	outcome := j.forwardAnswer(ctx, resp, success)
	if outcome != retry.Answered && outcome != retry.Failed {
		return j.abandonForward(nil), true
	}
	j.attempts.RecordAttempt(clock.Now(), retry.Answered, nil)
	n.metrics.Forwarded.WithLabelValues("answered").Inc()
	return nil, true
}

// forwardAnswer sends an endpoint's answer to the caller, or buffers it.
func (j *job) forwardAnswer(ctx context.Context, resp *upstream.Response, success bool) retry.Outcome {
	var outcome retry.Outcome
	if success && j.route.Kind == route.Stream {
		outcome, _ = j.forwardStream(ctx, &placement.Choice{}, resp, nil)
	} else {
		outcome, _ = j.bufferReply(ctx, &placement.Choice{}, resp)
	}
	return outcome
}

// refusedByHelper returns the refusal of a helper as one of this instance.
func (j *job) refusedByHelper(resp *upstream.Response, reply *exchange.Reply, reason string) *refusal {
	j.node.metrics.Forwarded.WithLabelValues("refused").Inc()
	if !impliesNotRun(resp.Status) && resp.Status >= http.StatusInternalServerError {
		j.countForwardedRun()
	}
	refused := &refusal{status: resp.Status, reason: reason}
	if reply.Pause > 0 {
		refused.retryAt = clock.Now().Add(reply.Pause)
	}
	return refused
}

// abandonForward ends a request that a helper may have had run, though no complete answer has arrived.
func (j *job) abandonForward(err error) *refusal {
	j.node.metrics.Forwarded.WithLabelValues("broken").Inc()
	if err != nil {
		j.node.log.Info(event.AttemptFailed, "request handed over to a peer failed", zap.String("request", j.head.ID), zap.String("helper", j.helper),
			zap.Error(err))
	}
	j.countForwardedRun()
	return &refusal{http.StatusBadGateway, "broken_off", 0}
}

// countForwardedRun counts that the request may have run. The helper had all the attempts that the route allows.
func (j *job) countForwardedRun() {
	j.attempts.RecordAttempt(clock.Now(), retry.Broken, func() bool { return false })
}

// hasBody reports whether the caller sent a body, even an empty one.
func (j *job) hasBody() bool {
	return j.r.ContentLength != 0 || len(j.r.TransferEncoding) > 0 || j.r.Method == http.MethodPost
}

// sweep closes idle connections to helpers.
func (f *forwarder) sweep(now clock.Instant) { f.pool.Sweep(now, func(string) bool { return true }) }
