package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
	"gypsumvale/internal/transport/intake"
	"gypsumvale/internal/transport/upstream"
)

const (
	// defaultBodyBytes bounds request bodies if the operator sets no limit.
	defaultBodyBytes = 4 << 20
	// shortRetryDelay is the Retry-After delay for transient conditions, such as an endpoint's restart.
	shortRetryDelay = 250 * time.Millisecond
	// A caller waits for a first event for firstEventLatencyFactor times the route's target latency or firstEventGapFactor times its target
	// pause between events, whichever is longer, but at least for minFirstEventTimeout.
	firstEventLatencyFactor = 4
	firstEventGapFactor     = 8
	minFirstEventTimeout    = 2 * time.Second
)

// job is one caller's request while it is being served.
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
	// held and replyHeld are the memory that the body and the buffered answer hold.
	held, replyHeld *intake.Held
	digest          string
	deadline        clock.Instant
	attempts        retry.Request
	placementReq    placement.Request

	// appliedWorkspace is the name of the workspace that placementReq and digest are for, or empty.
	appliedWorkspace string
	// buffered is the endpoint's last complete answer, not yet delivered to the caller.
	buffered *bufferedReply
	// namedVersion is the weight version that the endpoint of the last attempt named when it rejected the request for its weights, or zero.
	namedVersion int
	lastEvent    int64
	firstByteAt  clock.Instant
	choice       placement.Choice
	// software is the software version of the endpoint of the last attempt.
	software string
	// owner is the instance that placed the request, empty for this one, and placedAt is when it did.
	owner    string
	placedAt clock.Instant

	// headReceived, begun and sentAt describe the current attempt: whether the head of its answer and a first event have arrived, and when
	// it was sent.
	headReceived bool
	begun        bool
	sentAt       clock.Instant
	// retryTaken is true once the watchdog has taken the next attempt from the retry budget.
	retryTaken atomic.Bool
	// refusing is true once a refusal is written.
	refusing bool
	// writeFailed is true once the caller's connection has taken no more of the answer.
	writeFailed bool
	// trace is how the current attempt was sent, and answer the head of the last response to it. framed is true if the head states where its body
	// ends.
	trace  upstream.Trace
	answer exchange.Reply
	framed bool
	// crash is the crash of the endpoint that ended the current attempt, or nil if parts of the prompt aren't charged with one.
	crash *peer.CrashReport
	// barred is why nothing was sent in the current attempt, or nil; withdrawals counts the placements that were given up for it.
	barred      error
	withdrawals int
	// lapsed is true if nothing was sent in the current attempt since the placement was for a cold endpoint and too old; lapses counts these.
	lapsed bool
	lapses int
	// paused is true if the endpoint of the last attempt rejected the request and wants none for a while. It may be used again afterwards.
	paused bool

	// forwarded is true if a peer has handed the request over, and helper is the peer to which this instance has, or empty.
	forwarded bool
	helper    string
}

// ServeHTTP serves one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) { n.serve(w, r, false) }

// serve serves a request of a caller, or one that a peer has handed over.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	j := &job{node: n, w: w, r: r, arrived: clock.Now(), target: rawTarget(r), forwarded: forwarded}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer j.releaseMemory()
	defer j.endAfterPanic()
	if refused := j.admit(); refused != nil {
		j.writeRefusal(refused)
		return
	}
	j.run()
}

// endAfterPanic ends a request whose handler has panicked, unless that was to close the connection. What has begun to answer it closes the
// connection; before that, the status promises nothing, since the request may have run.
func (j *job) endAfterPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(fault)
	}
	name := j.r.Header.Get("Request-Id")
	if j.head != nil {
		name = j.head.ID
	}
	j.node.log.Warn(event.HandlerPanicked, "panic while a request was served", zap.String("request", name), zap.Any("panic", fault), zap.Stack("stack"))
	if j.refusing || j.attempts.ResponseSent() {
		panic(http.ErrAbortHandler)
	}
	j.w.Header().Set("Connection", "close")
	j.writeRefusal(&refusal{http.StatusInternalServerError, "internal", 0})
}

// rawTarget returns the path and query exactly as received, since normalizing them could change the route or what the endpoint sees.
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

// admit resolves the route and the workspace, and reads the body.
func (j *job) admit() *refusal {
	n := j.node
	head, err := n.deps.Headers.ReadHead(j.r.Header, j.arrived)
	if err != nil {
		return &refusal{http.StatusBadRequest, "no_identifier", 0}
	}
	j.head = head
	if refused := j.unable(); refused != nil {
		return refused
	}
	j.table = n.table.Load()
	if j.table == nil {
		return unavailable("no_configuration", j.arrived.Add(shortRetryDelay))
	}
	path, _, _ := strings.Cut(j.target, "?")
	j.route = j.table.Match(j.r.Host, path)
	if n.configurationBehind(j.arrived) || j.route == nil && !n.configurationComplete(j.arrived) {
		return unavailable("configuration_unconfirmed", j.arrived.Add(shortRetryDelay))
	}
	if j.route == nil {
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
	j.workspace = j.currentWorkspace(now)
	if !n.table.Load().RequiresKeys() || j.route.Public {
		return nil
	}
	if !n.configurationFresh(now) {
		return unavailable("configuration_unconfirmed", now.Add(shortRetryDelay))
	}
	if j.workspace == nil && !n.configurationComplete(now) {
		return unavailable("configuration_unconfirmed", now.Add(shortRetryDelay))
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
	return j.receiveBody(limit)
}

func (j *job) prepare() *refusal {
	n := j.node
	j.deadline = j.ownDeadline()
	j.placementReq = placement.Request{ID: placement.AssignmentID{Entry: n.incarnation}, Zone: n.cfg.Zone, Deadline: j.deadline}
	j.applyWorkspace()
	if n.suspects.blocked(j.digest) {
		return &refusal{http.StatusInternalServerError, "crashes_endpoints", 0}
	}
	j.service = j.route.Pick(xxhash.Sum64String(j.streamID()))
	if j.service == "" {
		return unavailable("no_service", j.arrived.Add(shortRetryDelay))
	}
	j.lastEvent = j.head.LastEvent
	j.attempts = retry.Request{Repeatable: j.route.Repeatable(), MaxRuns: j.route.MaxAttempts, Deadline: j.deadline}
	// The regions of a workspace bind also where its name may not be used any more: without them the request would go to more places.
	regions, possible := route.AllowedRegions(j.route, j.table.Workspace(j.head.Key))
	if !possible {
		return unavailable("no_allowed_region", j.arrived.Add(shortRetryDelay))
	}
	j.placementReq.AllowedRegions = regions
	j.placementReq.Service = j.service
	j.placementReq.Stream = streamOf(j.route, j.head.ID, j.head.Resumes)
	j.placementReq.TakesUp = j.placementReq.Stream != 0 && (j.head.LastEvent > 0 || j.head.Resumes != "")
	if s := j.table.Services[j.service]; s != nil && s.Engine != nil && j.route.HasPrompt {
		j.placementReq.Model = j.head.Model
		j.placementReq.Parts = j.head.Parts
		j.placementReq.Prompt = j.head.PromptTokens
		j.placementReq.Output = j.head.OutputTokens
		j.placementReq.LengthHint = j.head.LengthHint
		j.placementReq.TargetEventGap = j.route.TargetEventGap
		j.placementReq.FirstEventDeadline = min(j.deadline,
			j.arrived.Add(max(minFirstEventTimeout, firstEventLatencyFactor*j.route.TargetLatency, firstEventGapFactor*j.route.TargetEventGap)))
		if j.route.TargetLatency > 0 {
			j.placementReq.TargetDeadline = j.arrived.Add(j.route.TargetLatency)
		}
	}
	if n.partsBlocked(&j.placementReq) {
		return refusalOfBlockedParts()
	}
	if !n.links.isolated.Load() {
		// The helper counts the others.
		n.retryBudgets.forService(j.service).CountRequest()
	}
	return nil
}

// streamID returns the identifier of the attempt that began the request's stream: the service that it was sent to goes on with it.
func (j *job) streamID() string {
	if j.head.Resumes != "" {
		return j.head.Resumes
	}
	return j.head.ID
}

// place places the request. If it isn't known where the stream began that it takes up, the registrars are asked, and the request waits for a moment
// while a new leader learns it.
func (j *job) place(ctx context.Context) (placement.Choice, string, error) {
	var nextFind clock.Instant
	for {
		choice, owner, err := j.node.placer.place(ctx, &j.placementReq, j.withdrawals > maxGrantsWithdrawn)
		var unknown *placement.OriginError
		now := clock.Now()
		if !errors.As(err, &unknown) || now.Sub(j.arrived) > originWait || !unknown.Learning && nextFind != 0 {
			return choice, owner, err
		}
		if !now.Before(nextFind) {
			j.node.origins.find(ctx, &j.placementReq)
			nextFind = now.Add(findPause)
			continue
		}
		if !duty.Sleep(ctx, originRetryPause) {
			return choice, owner, err
		}
	}
}

// run makes attempts until one returns the answer, or no further attempt is allowed.
func (j *job) run() {
	ctx, cancel := context.WithTimeout(j.r.Context(), max(0, j.deadline.Sub(j.arrived)))
	defer cancel()
	for {
		if j.node.links.isolated.Load() {
			j.runElsewhere(ctx)
			return
		}
		choice, owner, err := j.place(ctx)
		if err != nil {
			j.fail(ctx, j.refusalOf(err))
			return
		}
		j.choice, j.owner, j.placedAt = choice, owner, clock.Now()
		j.node.running.Placed(&j.placementReq, &choice, owner)
		refused, again := j.recheck(ctx, &choice)
		if refused == nil && !again {
			refused, again = j.attemptOnce(ctx, &choice)
		}
		switch {
		case refused != nil:
			j.fail(ctx, refused)
			return
		case !again:
			j.deliver()
			return
		}
	}
}

// runElsewhere ends a request at an isolated instance: a peer serves it, unless it has come from one.
func (j *job) runElsewhere(ctx context.Context) {
	refused := j.unable()
	if refused == nil {
		refused = j.forward(ctx)
	}
	if refused != nil {
		j.fail(ctx, refused)
		return
	}
	j.deliver()
}

// recheck checks again, once a request is placed, what may have changed while it was being placed. It returns the refusal of the request, or
// whether it has to be placed again; its placement has been ended in both cases.
func (j *job) recheck(ctx context.Context, choice *placement.Choice) (refused *refusal, again bool) {
	n := j.node
	refused = j.authorize(clock.Now())
	if refused == nil && !j.workspaceApplied() {
		refused = j.withdrawFromWorkspace(ctx, choice, j.owner)
		return refused, refused == nil
	}
	if refused == nil && n.partsBlocked(&j.placementReq) {
		refused = refusalOfBlockedParts()
	}
	if refused != nil {
		n.placer.reportEnd(&j.placementReq, j.owner, assignmentEnd{outcome: placement.OutcomeWithdrawn})
	}
	return refused, false
}

// attemptOnce sends the request to the chosen endpoint. It returns the refusal of the request, or whether it has to be placed again; if neither,
// the answer is ready or has been sent.
func (j *job) attemptOnce(ctx context.Context, choice *placement.Choice) (refused *refusal, again bool) {
	n := j.node
	outcome, placementOutcome := j.attempt(ctx, choice)
	if placementOutcome == placement.OutcomeUnreachable && n.links.awaitCheck(ctx) {
		// The failure says nothing of the endpoint.
		placementOutcome, j.crash = placement.OutcomeWithdrawn, nil
	}
	if placementOutcome == placement.OutcomeUnreachable {
		n.placer.doubtEndpoint(choice.Endpoint)
	}
	n.placer.reportEnd(&j.placementReq, j.owner, assignmentEnd{placementOutcome, j.namedVersion, j.crash})
	switch {
	case j.lapsed:
		refused = j.replace(ctx, choice)
		return refused, refused == nil
	case j.barred != nil:
		refused = j.withdraw(ctx, choice)
		return refused, refused == nil
	}
	n.metrics.Attempts.WithLabelValues(outcome.String()).Inc()
	action := j.attempts.RecordAttempt(clock.Now(), outcome, j.takeRetry)
	if outcome == retry.Answered {
		n.suspects.clearDigest(j.digest)
		n.recordSignOfLife(n.incarnationOf(choice), j.sentAt)
	} else {
		j.logAttempt(outcome, action)
	}
	switch action {
	case retry.RetryElsewhere:
		if ctx.Err() != nil {
			return unavailable("deadline", clock.Now().Add(shortRetryDelay)), false
		}
		if !j.paused {
			j.placementReq.Avoid = append(j.placementReq.Avoid, choice.Endpoint)
		}
		return nil, true
	case retry.Reject:
		return unavailable("not_run", clock.Now().Add(shortRetryDelay)), false
	case retry.Abandon:
		return &refusal{http.StatusBadGateway, "broken_off", 0}, false
	}
	return nil, false
}

// takeRetry takes an attempt from the retry budget, unless the watchdog has taken it before.
func (j *job) takeRetry() bool {
	return j.retryTaken.Swap(false) || j.node.retryBudgets.forService(j.service).Take()
}

const (
	// maxGrantsWithdrawn is how many of the leader's grants of a request are withdrawn before this entry places the request alone: a leader of an
	// earlier release ignores what it is told of endpoints.
	maxGrantsWithdrawn = 1
	// maxWithdrawals limits how often a request is placed again since its endpoint has said meanwhile that it wants no requests, or its zone is
	// evacuated or outside the allowed regions.
	maxWithdrawals = 8
)

// withdraw prepares a request for another placement after its endpoint has turned out to want no requests, or its zone is evacuated or outside
// the allowed regions. That is no attempt, since nothing was sent.
func (j *job) withdraw(ctx context.Context, choice *placement.Choice) *refusal {
	n := j.node
	n.log.Info(event.AttemptFailed, "placement withdrawn", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint),
		zap.Error(j.barred))
	j.withdrawals++
	if errors.As(j.barred, new(*evacuatedError)) {
		n.metrics.EvacuationWithdrawals.Inc()
	}
	switch {
	case ctx.Err() != nil:
		return unavailable("deadline", clock.Now().Add(shortRetryDelay))
	case j.withdrawals > maxWithdrawals:
		return unavailable("no_endpoint", clock.Now().Add(shortRetryDelay))
	}
	if errors.As(j.barred, new(*barredError)) {
		n.notices.reportAgain()
	}
	return nil
}

// incarnationOf returns the incarnation of a chosen endpoint: the one that the choice names, or else the registered one.
func (n *Node) incarnationOf(choice *placement.Choice) registration.Incarnation {
	if choice.StartMilli == 0 {
		return n.discovery.incarnation(choice.Endpoint)
	}
	return registration.Incarnation{ID: choice.Endpoint, StartMilli: choice.StartMilli}
}

func (j *job) refusalOf(err error) *refusal {
	var overload *placement.OverloadError
	var unknown *placement.OriginError
	switch {
	case errors.As(err, &unknown) && (unknown.Learning || unknown.Outdated):
		// Another instance may know, or this one once it reaches the store again.
		return unavailable("stream_origin_unknown", clock.Now().Add(shortRetryDelay))
	case errors.As(err, &unknown):
		// No later attempt can go on with the stream either.
		return unavailable("stream_origin_unknown", 0)
	case errors.As(err, &overload) && overload.Paused:
		return unavailable("endpoints_paused", overload.RetryAt)
	case errors.As(err, &overload) && overload.Limited:
		return unavailable("endpoints_limited", overload.RetryAt)
	case errors.As(err, &overload) && overload.Settling:
		return unavailable("versions_settling", overload.RetryAt)
	case errors.As(err, &overload):
		return unavailable("overload", overload.RetryAt)
	case errors.Is(err, placement.ErrZonesEvacuated):
		return unavailable("zones_evacuated", clock.Now().Add(evacuationRetryDelay))
	case errors.Is(err, placement.ErrBlocked):
		return refusalOfBlockedParts()
	case errors.Is(err, placement.ErrSuspected):
		return unavailable("part_suspected", clock.Now().Add(shortRetryDelay))
	}
	return unavailable("no_endpoint", clock.Now().Add(shortRetryDelay))
}

// reasonLeft is the reason of a refusal to a caller that has closed its connection, or the sending side of it.
const reasonLeft = "caller_left"

// fail ends a request without an endpoint's answer. A request that has run, or may have run, never gets a status which states that it did
// not run.
func (j *job) fail(ctx context.Context, refused *refusal) {
	switch {
	case j.attempts.ResponseSent():
		switch {
		case j.writeFailed || j.r.Context().Err() != nil:
			j.recordEnd("left", reasonLeft, 0)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			j.recordEnd("cut", "deadline", 0)
		default:
			j.recordEnd("cut", refused.reason, 0)
		}
		// Once part of the answer has been sent, only closing the connection tells the caller that it is truncated.
		panic(http.ErrAbortHandler)
	case j.r.Context().Err() != nil:
		// A caller that has only closed its sending side waits for an answer, and net/http ends the context for that too.
		j.w.Header().Set("Connection", "close")
		refused = unavailable(reasonLeft, clock.Now().Add(shortRetryDelay))
		if j.attempts.Runs() > 0 {
			refused = &refusal{http.StatusBadGateway, reasonLeft, 0}
		}
	case j.attempts.Runs() > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		refused = &refusal{http.StatusGatewayTimeout, "deadline", 0}
	case j.attempts.Runs() > 0 && refused.status == http.StatusServiceUnavailable:
		refused = &refusal{http.StatusBadGateway, refused.reason, 0}
	}
	j.writeRefusal(refused)
}

// recordEnd counts and logs the end of a request with the reason for it.
func (j *job) recordEnd(result, reason string, status int) {
	n := j.node
	now := clock.Now()
	kind, routeName := "none", ""
	if j.route != nil {
		kind, routeName = j.route.Kind.String(), j.route.Name
	}
	n.metrics.Requests.WithLabelValues(kind, result).Inc()
	n.metrics.Latency.WithLabelValues(kind).Observe(now.Sub(j.arrived).Seconds())
	fields := make([]zap.Field, 0, 34)
	if j.head != nil {
		fields = append(fields, zap.String("request", j.head.ID))
		if j.head.LastEvent > 0 {
			fields = append(fields, zap.String("resumes", j.head.Resumes), zap.Int64("last_event", j.head.LastEvent))
		}
		if j.placementReq.TakesUp {
			o := j.origin()
			n.metrics.TakeUps.WithLabelValues(string(o.Source), result).Inc()
			fields = append(fields, zap.String("origin", string(o.Source)), zap.Bool("origin_placed", o.Placed), zap.Int64("origin_age_ms", o.Age.Milliseconds()))
		}
	}
	fields = append(fields, zap.String("result", result), zap.String("reason", reason), zap.Int("status", status),
		zap.String("route", routeName), zap.Int64("ms", now.Sub(j.arrived).Milliseconds()))
	if j.table != nil {
		fields = append(fields, zap.Uint64("table", j.table.Version), zap.Int64("table_age_ms", n.confirmation.Age(now).Milliseconds()))
	}
	if j.workspace != nil {
		fields = append(fields, zap.String("workspace", j.workspace.Name))
	}
	if reason == reasonLeft {
		fields = append(fields, zap.String("connection", string(intake.ReadEndOf(j.r.Context()))))
	}
	if j.forwarded {
		fields = append(fields, zap.Bool("forwarded", true))
	}
	if j.helper != "" {
		fields = append(fields, zap.String("helper", j.helper))
	}
	if j.choice.Endpoint != "" {
		fields = append(fields, zap.String("endpoint", j.choice.Endpoint), zap.Int("sends", j.attempts.Sends()),
			zap.Int("runs", j.attempts.Runs()), zap.Int("weights", j.choice.Version), zap.String("software", j.software),
			zap.String("placed_by", j.owner), zap.Uint64("placement", j.placementReq.ID.Number),
			zap.Int64("started", j.choice.StartMilli), zap.Bool("framed", j.framed), zap.Int64("events", j.lastEvent), zap.Int("prompt", j.placementReq.Prompt),
			zap.Int("shared", j.placementReq.SharedTokens()), zap.Int("cached", j.choice.Cached), zap.Int("fetched", j.choice.Fetched),
			zap.Int64("waited_ms", max(0, j.placedAt.Sub(j.arrived).Milliseconds())), zap.Int("priority", j.placementReq.Priority),
			zap.Int64("expected_ms", j.choice.Expected.Milliseconds()), zap.Int64("first_ms", max(0, j.firstByteAt.Sub(j.arrived).Milliseconds())))
	}
	if result == "refused" {
		n.log.Info(event.RequestRejected, "request refused", fields...)
		return
	}
	n.log.Info(event.RequestEnded, "request ended", fields...)
}

// origin returns how it was known at which software version the stream began that the request takes up. Its source is empty if that wasn't known, or
// the instance that placed the request doesn't tell.
func (j *job) origin() placement.StreamOrigin {
	if j.choice.Origin != nil {
		return *j.choice.Origin
	}
	return j.placementReq.Origin
}

func (j *job) logAttempt(outcome retry.Outcome, action retry.Action) {
	j.node.log.Info(event.AttemptEnded, "attempt ended", zap.String("request", j.head.ID), zap.String("endpoint", j.choice.Endpoint),
		zap.Int64("started", j.choice.StartMilli), zap.String("outcome", outcome.String()), zap.Uint8("next", uint8(action)), zap.Int("sends", j.attempts.Sends()),
		zap.Int("runs", j.attempts.Runs()), zap.Int64("last_event", j.lastEvent), zap.Uint64("connection", j.trace.Connection),
		zap.Int("exchange", j.trace.Exchange), zap.Int("skipped", j.trace.Skipped), zap.String("answer_to", j.answer.ID),
		zap.Int64("pause_ms", j.answer.Pause.Milliseconds()))
}
