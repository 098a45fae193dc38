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
	attemptPause  = 15 * time.Millisecond
)

// job is one prompt on its way to a whole answer.
type job struct {
	node       *Node
	prompt     *caller.Prompt
	sink       caller.Sink
	deployment *catalog.Deployment
	text       string
	digest     string
	stream     string
	deadline   time.Time

	verifier *answer.Verifier
	avoid    []string
	resumeAt string
	// sent is when the present attempt went out, and life the engine's life as known then.
	sent  time.Time
	life  string
	first time.Time
	last  time.Time
	end   engine.Chunk
}

// errLapsed says that a grant is too old to be used, since this process stood still; nothing was sent.
var errLapsed = errors.New("grant has lapsed")

// errSink says that the caller has gone.
var errSink = errors.New("caller has gone")

// Prompt brings a prompt's whole answer to the sink, over as many attempts as the deadline and the allowance permit.
func (n *Node) Prompt(ctx context.Context, p *caller.Prompt, s caller.Sink) (*caller.Completion, *api.Error) {
	j, failure := n.newJob(ctx, p, s)
	if failure != nil {
		return nil, failure
	}
	n.retries.CountRequest()
	if j.stream != "" {
		j.resumeAt = n.findStream(ctx, j.stream)
	}
	for attempt := 0; ; attempt++ {
		failure := j.try(ctx)
		if failure == nil {
			return j.finish(), nil
		}
		if !failure.again || attempt+1 >= maxAttempts || ctx.Err() != nil || !n.retries.Take() {
			return nil, failure.err
		}
		duty.Sleep(ctx, attemptPause)
	}
}

func (n *Node) newJob(ctx context.Context, p *caller.Prompt, s caller.Sink) (*job, *api.Error) {
	d := n.follower.Current().Deployments[p.Request.Model]
	if d == nil {
		return nil, api.NewError(http.StatusNotFound, api.CodeUnknownDeployment, api.RunNo, "no deployment %.64q", p.Request.Model)
	}
	if !p.Workspace.Allows(d.Name) {
		return nil, api.NewError(http.StatusForbidden, api.CodeForbidden, api.RunNo, "workspace may not use deployment %s", d.Name)
	}
	deadline, _ := ctx.Deadline()
	text := p.Request.Prompt()
	content := claim.DigestOf(d.Name, text)
	j := &job{node: n, prompt: p, sink: s, deployment: d, text: text, digest: hex.EncodeToString(content[:]), deadline: deadline}
	if p.Key != "" {
		// The stream's name covers the prompt, so that a key used for another prompt can't attach to this answer.
		name := claim.DigestOf(p.Workspace.Name, p.Key, d.Name, text, strconv.Itoa(p.Request.MaxTokens))
		j.stream = hex.EncodeToString(name[:])
	}
	return j, nil
}

// tryError is the end of a failed attempt.
type tryError struct {
	err   *api.Error
	again bool
}

func (j *job) try(ctx context.Context) *tryError {
	standing := j.node.suspects.standing(j.digest)
	if standing == suspect.Blocked {
		j.node.log.Info(event.RequestBlocked, "request refused that crashes endpoints", zap.String("digest", j.digest))
		return &tryError{err: api.NewError(http.StatusUnprocessableEntity, api.CodeCrashing, api.RunUnknown,
			"endpoints crashed while they ran this request; it is not run again")}
	}
	grant, failure := j.acquire(ctx, standing == suspect.Suspected)
	if failure != nil {
		return failure
	}
	ratio := 0.0
	defer func() { grant.Done(ratio) }()
	started := time.Now()
	err := j.attempt(ctx, grant)
	j.node.metrics.Attempts.WithLabelValues(attemptLabel(err)).Inc()
	if err == nil {
		ratio = j.ratio(grant, started)
		j.node.suspects.acquit(j.digest)
		return nil
	}
	return j.failed(ctx, grant, err)
}

// acquire waits for an endpoint; a resumed answer may go only to one with the version that it is bound to.
func (j *job) acquire(ctx context.Context, suspected bool) (*group.Grant, *tryError) {
	n := j.node
	scope := piece.Names(j.scope(j.deployment.Version), j.text)
	work := recall.Work{PromptTokens: piece.EstimateTokens(j.text), MaxTokens: j.prompt.Request.MaxTokens}
	cost, class := n.rates.Cost(work, 0)
	ask := group.GrantRequest{
		Workspace: j.prompt.Workspace.Name,
		Share:     j.prompt.Workspace.Share,
		Class:     class,
		Cost:      cost,
		First:     j.expectedFirst(),
		Deadline:  j.deadline,
		Avoid:     j.avoid,
		Suspect:   suspected,
	}
	if len(scope) > 0 {
		ask.Context = string(scope[0])
	}
	if j.sink.Sent() > 0 {
		ask.Version = j.verifier.Version
	}
	if grant := j.attach(ask); grant != nil {
		return grant, nil
	}
	started := time.Now()
	grant, err := n.seeker.Acquire(ctx, string(catalog.KindDeployment)+"/"+j.deployment.Name, ask)
	if err != nil {
		return nil, &tryError{err: n.grantError(err, j.verifier != nil)}
	}
	n.metrics.GrantWait.WithLabelValues(class.String()).Observe(time.Since(started).Seconds())
	return grant, nil
}

// attach goes back to the endpoint that runs the answer already; a leaving one is left, since it might have to start anew.
func (j *job) attach(ask group.GrantRequest) *group.Grant {
	e := j.node.follower.Current().Endpoints[j.resumeAt]
	j.resumeAt = ""
	if e == nil || !j.node.health.usable(e) {
		return nil
	}
	return j.node.seeker.Attach(e, ask)
}

func (j *job) scope(version string) piece.Scope {
	d := j.deployment
	return piece.Scope{Workspace: j.prompt.Workspace.Name, Model: d.Model, Version: version, Adapter: d.Adapter}
}

// bind fixes the weight version at the first attempt; it changes only while the caller has seen nothing.
func (j *job) bind(grant *group.Grant) string {
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

// failed decides what an attempt's error means for the next one.
func (j *job) failed(ctx context.Context, grant *group.Grant, err error) *tryError {
	n := j.node
	name := grant.Endpoint.Name
	n.log.Debug(event.AttemptFailed, "attempt failed", zap.String("request", j.prompt.ID), zap.String("endpoint", name), zap.Error(err))
	if errors.Is(err, errSink) || ctx.Err() != nil {
		return &tryError{err: api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, api.RunUnknown, "no whole answer before the deadline")}
	}
	switch {
	case errors.Is(err, endpoint.ErrNotStarted):
		n.health.failed(name)
		j.avoid = append(j.avoid, name)
	case errors.Is(err, endpoint.ErrBusy):
		j.avoid = append(j.avoid, name)
	case errors.Is(err, endpoint.ErrVersionMismatch), errors.Is(err, answer.ErrWrongVersion):
		j.reread(ctx, grant.Endpoint)
	case errors.Is(err, endpoint.ErrIncomplete):
		j.broken(ctx, grant.Endpoint)
	case errors.Is(err, answer.ErrDigestMismatch):
		if j.sink.Sent() > 0 {
			return &tryError{err: api.NewError(http.StatusBadGateway, api.CodeEndpointFailed, api.RunUnknown, "answer damaged on its way")}
		}
		j.verifier = nil
	}
	failure := api.NewError(http.StatusBadGateway, api.CodeEndpointFailed, api.RunUnknown, "endpoints failed: %v", err)
	return &tryError{err: failure.WithRetry(time.Now().Add(time.Second)), again: true}
}

// reread asks an endpoint for its version, so that the next attempt is bound to what runs.
func (j *job) reread(ctx context.Context, e *catalog.Endpoint) {
	load, err := j.node.endpoints.Load(ctx, e.Address)
	if err != nil {
		j.avoid = append(j.avoid, e.Name)
		return
	}
	j.node.health.answered(e.Name, load)
	j.avoid = append(j.avoid, e.Name)
}

// broken tells a crash from a stream that was cut; the latter is resumed where it runs.
//
// What was sent to an engine that had crashed already was not in flight, and is no suspect.
func (j *job) broken(ctx context.Context, e *catalog.Endpoint) {
	h := j.node.health
	if !j.node.endpoints.Crashed(ctx, e.Address, j.life) {
		j.resumeAt = e.Name
		return
	}
	j.resumeAt = ""
	j.avoid = append(j.avoid, e.Name)
	if h.wasDown(e.Name, j.sent) {
		return
	}
	h.crashed(e.Name)
	j.node.noteCrash(ctx, j.digest, e.Name)
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
	case errors.Is(err, errSink), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "abandoned"
	}
	return "broken"
}

// grantError says why no endpoint was granted; started says whether an earlier attempt may have run.
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
