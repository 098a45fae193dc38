package entry

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/recall"
	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/answer"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/piece"
	"gypsumvale/internal/transport/caller"
	"gypsumvale/internal/transport/endpoint"
)

const (
	maxAttempts   = 6
	shortPriority = 10
	longPriority  = 0
	retryPause    = 15 * time.Millisecond
)

// job serves one prompt, over one or more attempts, until its answer is complete.
type job struct {
	node       *Node
	prompt     *caller.Prompt
	sink       caller.Sink
	deployment *catalog.Deployment
	text       string
	digest     string
	// pieces names the complete pieces of the context.
	pieces   []string
	stream   string
	deadline time.Time

	verifier *answer.Verifier
	// avoid names the endpoints on which the request has failed.
	avoid []string
	// resumeAt names the endpoint that is believed to be generating the answer already, or is empty.
	resumeAt string
	// sentAt is when the current attempt was sent, and engineRunID identifies the run of the engine's process as known at that time.
	sentAt      time.Time
	engineRunID string
	// begun is true once the current attempt has brought a token.
	begun        bool
	firstTokenAt time.Time
	lastTokenAt  time.Time
	endChunk     engine.Chunk
}

// errGrantExpired is returned when a grant has expired before use because this process was paused; nothing was sent to the endpoint.
var errGrantExpired = errors.New("grant has lapsed")

var errCallerGone = errors.New("caller disconnected")

// Prompt writes the complete answer to a prompt to the sink, retrying as often as the deadline, maxAttempts and the retry budget permit.
func (n *Node) Prompt(ctx context.Context, p *caller.Prompt, s caller.Sink) (*caller.Completion, *api.Error) {
	j, failure := n.newJob(ctx, p, s)
	if failure != nil {
		return nil, failure
	}
	n.retryBudget.CountRequest()
	if j.stream != "" {
		j.resumeAt = n.findStream(ctx, j.stream)
	}
	for attempt := 0; ; attempt++ {
		failure := j.attempt(ctx)
		if failure == nil {
			return j.finish(), nil
		}
		if !failure.retryable || attempt+1 >= maxAttempts || ctx.Err() != nil || !n.retryBudget.Take() {
			return nil, failure.err
		}
		duty.Sleep(ctx, retryPause)
	}
}

func (n *Node) newJob(ctx context.Context, p *caller.Prompt, s caller.Sink) (*job, *api.Error) {
	d := n.follower.Current().Deployments[p.Request.Model]
	if d == nil {
		return nil, n.notFound(api.NewError(http.StatusNotFound, api.CodeUnknownDeployment, api.RunNo, "no deployment %.64q", p.Request.Model))
	}
	if !p.Workspace.Allows(d.Name) {
		return nil, api.NewError(http.StatusForbidden, api.CodeForbidden, api.RunNo, "workspace may not use deployment %s", d.Name)
	}
	deadline, _ := ctx.Deadline()
	text := p.Request.Prompt()
	content := claim.DigestOf(d.Name, text)
	j := &job{node: n, prompt: p, sink: s, deployment: d, text: text, digest: hex.EncodeToString(content[:]), deadline: deadline}
	for _, name := range piece.Names(j.cacheScope(d.Version), text) {
		j.pieces = append(j.pieces, string(name))
	}
	if p.Key != "" {
		// The stream's name includes the prompt, so that a key that is reused for another prompt can't attach to this answer.
		name := claim.DigestOf(p.Workspace.Name, p.Key, d.Name, text, strconv.Itoa(p.Request.MaxTokens))
		j.stream = hex.EncodeToString(name[:])
	}
	return j, nil
}

// attemptError is the error to report for a failed attempt, and whether another attempt may succeed.
type attemptError struct {
	err       *api.Error
	retryable bool
}

func (j *job) attempt(ctx context.Context) *attemptError {
	status := max(j.node.suspects.status(j.digest), j.node.suspects.pieceStatus(j.pieces))
	if status == suspect.Blocked {
		j.node.log.Info(event.RequestBlocked, "request blocked: endpoints crashed while running it", zap.String("digest", j.digest))
		return &attemptError{err: api.NewError(http.StatusUnprocessableEntity, api.CodeCrashing, api.RunUnknown,
			"endpoints crashed while they ran this request; it is not run again")}
	}
	grant, failure := j.acquire(ctx, status == suspect.Suspected)
	if failure != nil {
		return failure
	}
	ratio := 0.0
	defer func() { grant.Done(ratio) }()
	started := time.Now()
	err := j.generate(ctx, grant)
	j.node.metrics.Attempts.WithLabelValues(attemptLabel(err)).Inc()
	if err == nil {
		ratio = j.serviceTimeRatio(grant, started)
		j.node.suspects.markClear(j.digest)
		return nil
	}
	return j.handleFailure(ctx, grant, err)
}

// acquire waits for the grant of an endpoint. An answer of which the caller has seen a part can be resumed only on an endpoint with
// the same weight version.
func (j *job) acquire(ctx context.Context, suspected bool) (*group.Grant, *attemptError) {
	n := j.node
	pieces := piece.Names(j.cacheScope(j.deployment.Version), j.text)
	work := recall.Work{PromptTokens: piece.EstimateTokens(j.text), MaxTokens: j.prompt.Request.MaxTokens}
	cost, class := n.rates.Cost(work, 0)
	request := group.GrantRequest{
		Workspace: j.prompt.Workspace.Name,
		Share:     j.prompt.Workspace.Share,
		Class:     class,
		Cost:      cost,
		First:     j.expectedFirstToken(),
		Deadline:  j.deadline,
		Avoid:     j.avoid,
		Suspect:   suspected,
	}
	if len(pieces) > 0 {
		request.Context = string(pieces[0])
	}
	if j.sink.Sent() > 0 {
		request.Version = j.verifier.Version
	}
	if grant := j.reattach(request); grant != nil {
		return grant, nil
	}
	started := time.Now()
	grant, err := n.grants.Acquire(ctx, string(catalog.KindDeployment)+"/"+j.deployment.Name, request)
	if err != nil {
		return nil, &attemptError{err: n.grantError(err, j.verifier != nil)}
	}
	n.metrics.GrantWait.WithLabelValues(class.String()).Observe(time.Since(started).Seconds())
	return grant, nil
}

// reattach returns a grant for the endpoint that is generating the answer already, or nil if it isn't usable. A leaving endpoint is
// not usable, since it might have to start the answer from the beginning.
func (j *job) reattach(request group.GrantRequest) *group.Grant {
	e := j.node.follower.Current().Endpoints[j.resumeAt]
	j.resumeAt = ""
	if e == nil || !j.node.health.usable(e) {
		return nil
	}
	return j.node.grants.Attach(e, request)
}

func (j *job) cacheScope(version string) piece.Scope {
	d := j.deployment
	return piece.Scope{Workspace: j.prompt.Workspace.Name, Model: d.Model, Version: version, Adapter: d.Adapter}
}

// bindVersion fixes the answer's weight version at the first attempt; the version may change only while the caller has seen no token.
func (j *job) bindVersion(grant *group.Grant) string {
	version := grant.Version
	if version == "" {
		version = j.deployment.Version
	}
	if j.verifier == nil || j.sink.Sent() == 0 && j.verifier.Version != version {
		j.verifier = answer.NewVerifier(version)
		j.sink.Reset()
	}
	return j.verifier.Version
}

// handleFailure maps an attempt's error to the caller's error, and decides whether and where to retry.
func (j *job) handleFailure(ctx context.Context, grant *group.Grant, err error) *attemptError {
	n := j.node
	name := grant.Endpoint.Name
	n.log.Debug(event.AttemptFailed, "attempt failed", zap.String("request", j.prompt.ID), zap.String("endpoint", name), zap.Error(err))
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return &attemptError{err: api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, api.RunUnknown,
			"no whole answer before the deadline")}
	}
	switch {
	case errors.Is(err, endpoint.ErrNotStarted):
		n.health.markDown(name)
		j.avoid = append(j.avoid, name)
	case errors.Is(err, endpoint.ErrBusy):
		j.avoid = append(j.avoid, name)
	case errors.Is(err, endpoint.ErrVersionMismatch), errors.Is(err, answer.ErrWrongVersion):
		j.refreshVersion(ctx, grant.Endpoint)
	case errors.Is(err, endpoint.ErrIncomplete):
		j.handleBrokenStream(ctx, grant.Endpoint)
	case errors.Is(err, answer.ErrDigestMismatch):
		if j.sink.Sent() > 0 {
			return &attemptError{err: api.NewError(http.StatusBadGateway, api.CodeEndpointFailed, api.RunUnknown, "answer damaged on its way")}
		}
		j.verifier = nil
	}
	failure := api.NewError(http.StatusBadGateway, api.CodeEndpointFailed, api.RunUnknown, "endpoints failed: %v", err)
	return &attemptError{err: failure.WithRetry(time.Now().Add(time.Second)), retryable: true}
}

// refreshVersion reads the weight version that an endpoint runs, so that the next attempt is bound to a version that is loaded.
func (j *job) refreshVersion(ctx context.Context, e *catalog.Endpoint) {
	load, err := j.node.endpoints.Load(ctx, e.Address)
	if err != nil {
		j.avoid = append(j.avoid, e.Name)
		return
	}
	j.node.health.recordLoad(e.Name, load)
	j.avoid = append(j.avoid, e.Name)
}

// handleBrokenStream distinguishes a crash of the engine from an interrupted connection. After an interruption the answer is resumed on
// the same endpoint.
//
// A request that was sent after the crash had been noticed was not in flight at the crash, and is not counted as a suspect.
func (j *job) handleBrokenStream(ctx context.Context, e *catalog.Endpoint) {
	h := j.node.health
	if !j.node.endpoints.Crashed(ctx, e.Address, j.engineRunID) {
		j.resumeAt = e.Name
		return
	}
	j.resumeAt = ""
	j.avoid = append(j.avoid, e.Name)
	if h.wasCrashed(e.Name, j.engineRunID, j.sentAt) {
		return
	}
	h.markCrashed(e.Name, j.engineRunID)
	report := &peer.CrashReport{Digest: j.digest, Endpoint: e.Name, RunID: j.engineRunID}
	if !j.begun {
		report.Parts, report.SentAge = j.pieces, time.Since(j.sentAt)
	}
	j.node.reportCrash(ctx, e.Name, report)
}

func attemptLabel(err error) string {
	switch {
	case err == nil:
		return "whole"
	case errors.Is(err, endpoint.ErrNotStarted):
		return "not_started"
	case errors.Is(err, endpoint.ErrBusy):
		return "busy"
	case errors.Is(err, endpoint.ErrVersionMismatch):
		return "version"
	case errors.Is(err, errCallerGone), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "abandoned"
	}
	return "broken"
}

// grantError returns the API error for a failed grant request; started is true if an earlier attempt may have run.
func (n *Node) grantError(err error, started bool) *api.Error {
	run := api.RunNo
	if started {
		run = api.RunUnknown
	}
	var refused *group.RefusedError
	switch {
	case errors.As(err, &refused):
		return api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, run, "no endpoint can serve this by the deadline").WithRetry(refused.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, run, "no endpoint before the deadline").WithRetry(time.Now().Add(time.Second))
	}
	return api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, run, "no endpoint in reach").WithRetry(time.Now().Add(time.Second))
}
