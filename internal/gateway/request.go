package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/route"
)

const (
	// defaultBodyBytes bounds bodies while the operator sets no limit.
	defaultBodyBytes = 4 << 20
	// soon is when a caller may come back whose request met a passing state, such as an endpoint's restart.
	soon = 250 * time.Millisecond
	// patienceAims and patienceGaps are how many times a route's aim, or pause between events, a caller waits for a first event,
	// and minPatience is the least.
	patienceAims = 4
	patienceGaps = 8
	minPatience  = 2 * time.Second
	// priorityStep and priorityBase leave ranks between those of routes for later use.
	priorityStep = 2
	priorityBase = 1
	maxPriority  = 9
)

// job is one caller's request on its way to a whole answer.
type job struct {
	node *Node
	w    http.ResponseWriter
	r    *http.Request

	arrived   clock.Instant
	target    string
	table     *route.Table
	head      *exchange.Head
	route     *route.Route
	service   string
	workspace *route.Workspace
	body      []byte
	bodyRead  bool
	digest    string
	deadline  clock.Instant
	tries     retry.Request
	ask       placement.Request

	// reply is the endpoint's last whole answer that has not been delivered.
	reply *wholeReply
	// committed says that the head of an answer has gone to the caller.
	committed bool
	lastEvent int64
	first     clock.Instant
	choice    placement.Choice
	// owner is who placed the request, empty for this instance, and chosen when.
	owner  string
	chosen clock.Instant
}

// ServeHTTP serves one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	j := &job{node: n, w: w, r: r, arrived: clock.Now(), target: rawTarget(r)}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := j.admit(); refused != nil {
		j.answer(refused)
		return
	}
	j.run()
}

// rawTarget returns the path and query as they came, since cleaning them could change the route or what the endpoint sees.
func rawTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, rest, ok := strings.Cut(target, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return "/"
}

// admit finds the route and the workspace, and reads the body.
func (j *job) admit() *refusal {
	n := j.node
	head, err := n.outside.Headers.ReadHead(j.r.Header, j.arrived)
	if err != nil {
		return &refusal{http.StatusBadRequest, "no_identifier", 0}
	}
	j.head = head
	j.table = n.table.Load()
	if j.table == nil {
		return refuse("no_configuration", j.arrived.Add(soon))
	}
	path, _, _ := strings.Cut(j.target, "?")
	j.route = j.table.Match(j.r.Host, path)
	if j.route == nil {
		if !n.fresh(j.arrived) {
			// A newer configuration may have this route.
			return refuse("configuration_unconfirmed", j.arrived.Add(soon))
		}
		return &refusal{http.StatusNotFound, "no_route", 0}
	}
	if refused := j.authorize(j.arrived); refused != nil {
		return refused
	}
	if refused := j.readBody(); refused != nil {
		return refused
	}
	return j.prepare()
}

// authorize checks the caller's key against a configuration that is known to be in force.
func (j *job) authorize(now clock.Instant) *refusal {
	n := j.node
	table := n.table.Load()
	if !table.RequiresKeys() {
		return nil
	}
	j.workspace = table.Workspace(j.head.Key)
	if j.route.Public {
		return nil
	}
	if !n.fresh(now) {
		return refuse("configuration_unconfirmed", now.Add(soon))
	}
	if j.workspace == nil {
		return &refusal{http.StatusUnauthorized, "unknown_key", 0}
	}
	return nil
}

func (j *job) readBody() *refusal {
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if j.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
		}
		return &refusal{http.StatusBadRequest, "body_broken", 0}
	}
	j.body, j.bodyRead = body, true
	return nil
}

func (j *job) prepare() *refusal {
	n := j.node
	j.deadline = j.arrived.Add(j.route.Timeout)
	if j.head.Deadline != 0 && j.head.Deadline.Before(j.deadline) {
		j.deadline = j.head.Deadline
	}
	workspace := ""
	if j.workspace != nil {
		workspace = j.workspace.Name
	}
	j.digest = digestOf(j.r.Method, j.target, workspace, j.body)
	if n.suspects.convicted(j.digest) {
		return &refusal{http.StatusInternalServerError, "crashes_endpoints", 0}
	}
	j.service = j.route.Pick(xxhash.Sum64String(j.head.ID))
	if j.service == "" {
		return refuse("no_service", j.arrived.Add(soon))
	}
	j.lastEvent = j.head.LastEvent
	j.tries = retry.Request{Repeatable: j.route.Repeatable(), MaxRuns: j.route.MaxAttempts, Deadline: j.deadline}
	j.ask = placement.Request{
		ID:       placement.AssignmentID{Entry: n.incarnation, Number: n.placer.number()},
		Service:  j.service,
		Zone:     n.cfg.Zone,
		Priority: j.priority(),
		Deadline: j.deadline,
	}
	if s := j.table.Services[j.service]; s != nil && s.Engine != nil && j.route.HasPrompt {
		j.ask.Model = j.head.Model
		j.ask.Parts = j.head.Parts
		j.ask.Prompt = j.head.PromptTokens
		j.ask.Output = j.head.OutputTokens
		j.ask.FirstEventDeadline = min(j.deadline, j.arrived.Add(max(minPatience, patienceAims*j.route.TargetLatency, patienceGaps*j.route.TargetEventGap)))
	}
	if j.workspace != nil && j.workspace.Isolated {
		j.ask.IsolationKey = j.workspace.Name
	}
	n.retries.of(j.service).CountRequest()
	return nil
}

// priority returns the request's rank at an endpoint; the workspace's goes before the route's.
func (j *job) priority() int {
	rank := j.route.Priority
	if j.workspace != nil && j.workspace.Priority != nil {
		rank = *j.workspace.Priority
	}
	return min(max(0, priorityBase+priorityStep*rank), maxPriority)
}

// run makes attempts until one brings the answer, or none may follow.
func (j *job) run() {
	n := j.node
	ctx, cancel := context.WithTimeout(j.r.Context(), max(0, j.deadline.Sub(j.arrived)))
	defer cancel()
	for {
		choice, owner, err := n.placer.choose(ctx, &j.ask)
		if err != nil {
			j.giveUp(ctx, j.refusalOf(err))
			return
		}
		j.choice, j.owner, j.chosen = choice, owner, clock.Now()
		if refused := j.authorize(clock.Now()); refused != nil {
			n.placer.done(&j.ask, owner, placement.OutcomeWithdrawn)
			j.giveUp(ctx, refused)
			return
		}
		outcome, end := j.attempt(ctx, &choice)
		n.placer.done(&j.ask, owner, end)
		n.metrics.Attempts.WithLabelValues(outcome.String()).Inc()
		next := j.tries.RecordAttempt(clock.Now(), outcome, n.retries.of(j.service).Take)
		if outcome == retry.Answered {
			n.suspects.acquit(j.digest)
		} else {
			j.logAttempt(outcome, next)
		}
		switch next {
		case retry.RetryElsewhere:
			if ctx.Err() == nil {
				j.ask.Avoid = append(j.ask.Avoid, choice.Endpoint)
				continue
			}
			j.giveUp(ctx, refuse("deadline", clock.Now().Add(soon)))
		case retry.Deliver:
			j.deliver()
		case retry.Reject:
			j.giveUp(ctx, refuse("not_run", clock.Now().Add(soon)))
		case retry.Abandon:
			j.giveUp(ctx, &refusal{http.StatusBadGateway, "broken_off", 0})
		}
		return
	}
}

func (j *job) refusalOf(err error) *refusal {
	var overload *placement.OverloadError
	if errors.As(err, &overload) {
		return refuse("overload", overload.RetryAt)
	}
	return refuse("no_endpoint", clock.Now().Add(soon))
}

// giveUp ends a request without an endpoint's answer. What has run, or may have, is never called not run.
func (j *job) giveUp(ctx context.Context, refused *refusal) {
	switch {
	case j.committed:
		j.end("cut", refused.reason, 0)
		// Closing the connection is the only way to make an answer look cut that has begun.
		panic(http.ErrAbortHandler)
	case j.r.Context().Err() != nil:
		j.end("left", "caller_left", 0)
		panic(http.ErrAbortHandler)
	case j.tries.Runs() > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		refused = &refusal{http.StatusGatewayTimeout, "deadline", 0}
	case j.tries.Runs() > 0 && refused.status == http.StatusServiceUnavailable:
		refused = &refusal{http.StatusBadGateway, refused.reason, 0}
	}
	j.answer(refused)
}

// end counts and logs the end of a request, with what decided it.
func (j *job) end(result, reason string, status int) {
	n := j.node
	now := clock.Now()
	kind, routeName := "none", ""
	if j.route != nil {
		kind, routeName = j.route.Kind.String(), j.route.Name
	}
	n.metrics.Requests.WithLabelValues(kind, result).Inc()
	n.metrics.Latency.WithLabelValues(kind).Observe(now.Sub(j.arrived).Seconds())
	fields := make([]zap.Field, 0, 20)
	if j.head != nil {
		fields = append(fields, zap.String("request", j.head.ID))
	}
	fields = append(fields, zap.String("result", result), zap.String("reason", reason), zap.Int("status", status), zap.String("route", routeName),
		zap.Int64("ms", now.Sub(j.arrived).Milliseconds()))
	if j.table != nil {
		fields = append(fields, zap.Uint64("table", j.table.Version), zap.Int64("table_age_ms", n.proof.Age(now).Milliseconds()))
	}
	if j.workspace != nil {
		fields = append(fields, zap.String("workspace", j.workspace.Name))
	}
	if j.choice.Endpoint != "" {
		fields = append(fields, zap.String("endpoint", j.choice.Endpoint), zap.Int("sends", j.tries.Sends()), zap.Int("runs", j.tries.Runs()),
			zap.Int("weights", j.choice.Version), zap.Int("prompt", j.ask.Prompt), zap.Int("shared", j.ask.SharedTokens()), zap.Int("cached", j.choice.Cached), zap.Int("fetched", j.choice.Fetched),
			zap.Int64("waited_ms", max(0, j.chosen.Sub(j.arrived).Milliseconds())),
			zap.Int64("expected_ms", j.choice.Expected.Milliseconds()), zap.Int64("first_ms", max(0, j.first.Sub(j.arrived).Milliseconds())))
	}
	if result == "refused" {
		n.log.Info(event.RequestRejected, "request refused", fields...)
		return
	}
	n.log.Info(event.RequestEnded, "request ended", fields...)
}

func (j *job) logAttempt(outcome retry.Outcome, next retry.Action) {
	j.node.log.Info(event.AttemptEnded, "attempt ended", zap.String("request", j.head.ID), zap.String("endpoint", j.choice.Endpoint),
		zap.String("outcome", outcome.String()), zap.Uint8("next", uint8(next)), zap.Int("sends", j.tries.Sends()), zap.Int("runs", j.tries.Runs()),
		zap.Int64("last_event", j.lastEvent))
}
