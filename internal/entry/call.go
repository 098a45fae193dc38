package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/ledger"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/transport/caller"
	"gypsumvale/internal/transport/endpoint"
)

// Call serves a call to a plain service. A repeatable call is retried and hedged; any other first claims its idempotency key in the
// ledger.
func (n *Node) Call(ctx context.Context, c *caller.Call) (*caller.Answer, *api.Error) {
	s := n.follower.Current().Services[c.Service]
	if s == nil {
		return nil, n.notFound(api.NewError(http.StatusNotFound, api.CodeUnknownService, api.RunNo, "no service %.64q", c.Service))
	}
	if !c.Workspace.AllowsService(s.Name) {
		return nil, api.NewError(http.StatusForbidden, api.CodeForbidden, api.RunNo, "workspace may not use service %s", s.Name)
	}
	started := time.Now()
	n.retryBudget.CountRequest()
	n.hedgeBudget.CountRequest()
	repeatable := s.Repeatable(c.Method)
	label := "yes"
	if !repeatable {
		label = "no"
	}
	defer func() { n.metrics.ServiceTime.WithLabelValues(label).Observe(time.Since(started).Seconds()) }()
	if repeatable {
		return n.callRepeatable(ctx, s, c)
	}
	return n.callOnce(ctx, s, c)
}

// callOnce claims the caller's idempotency key in the ledger before the call is sent to any endpoint.
func (n *Node) callOnce(ctx context.Context, s *catalog.Service, c *caller.Call) (*caller.Answer, *api.Error) {
	key, failure := parseKey(c)
	if failure != nil {
		return nil, failure
	}
	request := claim.DigestOf(c.Service, c.Method, c.Path, c.Query, c.Type, string(c.Body))
	decision, err := n.attempts.Claim(ctx, key, request)
	if err != nil {
		n.metrics.Claims.WithLabelValues(claimLabel(err)).Inc()
		return nil, n.claimError(err)
	}
	if decision.Outcome != nil {
		n.metrics.Claims.WithLabelValues("replayed").Inc()
		return replay(decision.Outcome)
	}
	n.metrics.Claims.WithLabelValues("granted").Inc()
	if n.stopping.Load() {
		// The claim proves that no request with this key has run, so the refusal may report RunNo.
		n.attempts.Release(decision.Attempt)
		return nil, api.NewError(http.StatusServiceUnavailable, api.CodeStopping, api.RunNo, "instance is stopping").WithRetry(time.Now())
	}
	return n.runClaimed(ctx, s, c, decision.Attempt)
}

func parseKey(c *caller.Call) (claim.Key, *api.Error) {
	if c.Key == "" {
		return claim.Key{}, api.NewError(http.StatusBadRequest, api.CodeKeyMissing, api.RunNo, "%s header with a UUIDv7 is needed for %s", api.HeaderKey, c.Method)
	}
	key, err := claim.ParseKey(c.Workspace.Name, c.Key, time.Now())
	switch {
	case errors.Is(err, claim.ErrKeyMalformed):
		return key, api.NewError(http.StatusBadRequest, api.CodeKeyMalformed, api.RunNo, "%s must be a UUIDv7", api.HeaderKey)
	case errors.Is(err, claim.ErrKeyExpired):
		// An earlier request with this key may have run and its record been deleted since.
		return key, api.NewError(http.StatusGone, api.CodeKeyExpired, api.RunUnknown, "key is older than %s; this request did not run, an earlier one may have", claim.Retention)
	case errors.Is(err, claim.ErrKeyEarly):
		return key, api.NewError(http.StatusBadRequest, api.CodeKeyEarly, api.RunNo, "key lies more than %s in the future", claim.Skew)
	}
	return key, nil
}

// runClaimed makes the claimed call. The claim is released if no endpoint can have received the call; otherwise it ends with an outcome,
// which may be unknown. Services that deduplicate calls are the exception, see handleUnknownOutcome.
func (n *Node) runClaimed(ctx context.Context, s *catalog.Service, c *caller.Call, a *ledger.Attempt) (*caller.Answer, *api.Error) {
	var avoid []string
	for attempt := 0; ; attempt++ {
		grant, err := n.acquireService(ctx, s, c, avoid)
		if err != nil {
			n.attempts.Release(a)
			return nil, n.grantError(err, false)
		}
		if grant.Expired(time.Now()) || ctx.Err() != nil {
			grant.Done(0)
			n.attempts.Release(a)
			return nil, api.NewError(http.StatusGatewayTimeout, api.CodeDeadline, api.RunNo, "no endpoint in time").WithRetry(time.Now())
		}
		result, err := n.callClaimed(ctx, grant, c)
		if err == nil {
			return n.finishCall(a, result), nil
		}
		notStarted := errors.Is(err, endpoint.ErrNotStarted)
		avoid = append(avoid, grant.Endpoint.Name)
		if notStarted && attempt+1 < maxAttempts && ctx.Err() == nil && n.retryBudget.Take() {
			continue
		}
		if notStarted {
			n.attempts.Release(a)
			return nil, api.NewError(http.StatusServiceUnavailable, api.CodeEndpointFailed, api.RunNo, "endpoints can't be reached").WithRetry(time.Now().Add(time.Second))
		}
		return nil, n.handleUnknownOutcome(s, c, a, err)
	}
}

// callClaimed waits for the endpoint's answer even if the caller disconnects, so that the caller's retry gets the outcome of this
// attempt.
func (n *Node) callClaimed(ctx context.Context, g *group.Grant, c *caller.Call) (*endpoint.Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.cfg.RequestTimeout)
	defer cancel()
	return n.callEndpoint(ctx, g, c, true)
}

func (n *Node) finishCall(a *ledger.Attempt, r *endpoint.Result) *caller.Answer {
	outcome := claim.Outcome{Code: r.Status, Type: r.Type, Body: r.Body}
	if len(r.Body) > claim.MaxOutcomeBytes {
		outcome.Body, outcome.Omitted = nil, true
	}
	n.attempts.Finish(a, outcome)
	return &caller.Answer{Status: r.Status, Type: r.Type, Body: r.Body}
}

// handleUnknownOutcome ends a claim whose call may have run. If the service deduplicates calls by key, the claim is released, so that
// the call may be made again; otherwise the outcome is recorded as unknown.
func (n *Node) handleUnknownOutcome(s *catalog.Service, c *caller.Call, a *ledger.Attempt, err error) *api.Error {
	n.log.Warn(event.OutcomeUnknown, "claimed call may have run, outcome unknown", zap.String("request", c.ID), zap.String("service", c.Service), zap.Error(err))
	failure := api.NewError(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown, "the call may have run: %v", err)
	if s.Deduplicates {
		n.attempts.Release(a)
		return failure.WithRetry(time.Now().Add(time.Second))
	}
	n.attempts.Finish(a, claim.Outcome{})
	return failure
}

// replay returns the recorded outcome of an earlier attempt. A status code of zero means that the outcome is unknown.
func replay(o *claim.Outcome) (*caller.Answer, *api.Error) {
	if o.Code == 0 {
		return nil, api.NewError(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown, "an earlier attempt with this key may have run; it is not run again")
	}
	if o.Omitted {
		return nil, api.NewError(http.StatusConflict, api.CodeInProgress, api.RunYes, "an earlier attempt with this key ran with status %d; its answer was too large to keep", o.Code)
	}
	return &caller.Answer{Status: o.Code, Type: o.Type, Body: o.Body, Replayed: true}, nil
}

func (n *Node) claimError(err error) *api.Error {
	retryAt := time.Now().Add(time.Second)
	switch {
	case errors.Is(err, ledger.ErrMismatch):
		return api.NewError(http.StatusUnprocessableEntity, api.CodeKeyMismatch, api.RunNo, "key was used for another request; this one did not run")
	case errors.Is(err, ledger.ErrRunning):
		return api.NewError(http.StatusConflict, api.CodeInProgress, api.RunUnknown, "another attempt with this key has not ended").WithRetry(retryAt)
	case errors.Is(err, ledger.ErrUnknown):
		return api.NewError(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown, "the instance that held this key is gone; it may have run and is not run again")
	}
	n.log.Debug(event.ClaimFailed, "claim failed", zap.Error(err))
	if errors.Is(err, ledger.ErrUnavailable) {
		return api.NewError(http.StatusServiceUnavailable, api.CodeLedgerUnavailable, api.RunUnknown,
			"this attempt did not run; whether an earlier one with this key did can't be read now").WithRetry(retryAt)
	}
	return api.NewError(http.StatusServiceUnavailable, api.CodeLedgerUnavailable, api.RunNo, "the request did not run").WithRetry(retryAt)
}

func claimLabel(err error) string {
	switch {
	case errors.Is(err, ledger.ErrMismatch):
		return "mismatch"
	case errors.Is(err, ledger.ErrRunning):
		return "running"
	case errors.Is(err, ledger.ErrUnknown):
		return "unknown"
	case errors.Is(err, ledger.ErrUnavailable):
		return "unavailable"
	}
	return "not_run"
}

func (n *Node) acquireService(ctx context.Context, s *catalog.Service, c *caller.Call, avoid []string) (*group.Grant, error) {
	deadline, _ := ctx.Deadline()
	return n.grants.Acquire(ctx, string(catalog.KindService)+"/"+s.Name, group.GrantRequest{
		Workspace: c.Workspace.Name,
		Share:     c.Workspace.Share,
		Class:     group.ClassShort,
		Cost:      n.estimates.cost(s.Name),
		Deadline:  deadline,
		Avoid:     avoid,
	})
}

func (n *Node) callEndpoint(ctx context.Context, g *group.Grant, c *caller.Call, atMostOnce bool) (*endpoint.Result, error) {
	started := time.Now()
	header := http.Header{}
	if c.Type != "" {
		header.Set("Content-Type", c.Type)
	}
	if c.Key != "" {
		header.Set(api.HeaderKey, c.Key)
	}
	header.Set("Gypsum-Workspace", c.Workspace.Name)
	path := c.Path
	if c.Query != "" {
		path += "?" + c.Query
	}
	result, err := n.endpoints.Do(ctx, g.Endpoint.Address, &endpoint.Call{
		Method: c.Method, Path: path, Header: header, Body: c.Body, AtMostOnce: atMostOnce,
	})
	if err != nil {
		g.Done(0)
		if errors.Is(err, endpoint.ErrNotStarted) {
			n.health.markDown(g.Endpoint.Name)
		}
		return nil, err
	}
	took := time.Since(started)
	g.Done(timeRatio(took, n.estimates.cost(c.Service)))
	n.estimates.observe(c.Service, took)
	return result, nil
}

type callReply struct {
	result *endpoint.Result
	err    error
	hedge  bool
}

// callRepeatable calls an endpoint, and a second one as a hedge if the first has not answered within the estimated 95th percentile of
// the service time.
func (n *Node) callRepeatable(ctx context.Context, s *catalog.Service, c *caller.Call) (*caller.Answer, *api.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tried := &triedEndpoints{}
	replies := make(chan callReply, maxAttempts+1)
	start := func(hedge bool) {
		go func() {
			result, err := n.attemptService(ctx, s, c, tried)
			replies <- callReply{result, err, hedge}
		}()
	}
	start(false)
	pending, attempts := 1, 1
	hedgeTimer := time.NewTimer(n.estimates.p95(s.Name))
	defer hedgeTimer.Stop()
	var lastErr error
	mayHaveRun := false
	for pending > 0 {
		select {
		case r := <-replies:
			pending--
			if r.err == nil {
				n.countHedge(attempts > 1 && r.hedge)
				return &caller.Answer{Status: r.result.Status, Type: r.result.Type, Body: r.result.Body}, nil
			}
			lastErr = r.err
			mayHaveRun = mayHaveRun || errors.Is(r.err, endpoint.ErrIncomplete)
			var refused *group.RefusedError
			if pending == 0 && !errors.As(r.err, &refused) && attempts < maxAttempts && ctx.Err() == nil && n.retryBudget.Take() {
				start(false)
				pending++
				attempts++
			}
		case <-hedgeTimer.C:
			if n.hedgeBudget.Take() {
				start(true)
				pending++
				attempts++
			}
		}
	}
	return nil, n.grantError(lastErr, mayHaveRun)
}

func (n *Node) countHedge(won bool) {
	if won {
		n.metrics.Hedges.WithLabelValues("hedge").Inc()
	}
}

// triedEndpoints is the list of the endpoints that a call's attempts were granted, so that each attempt is placed on another one.
type triedEndpoints struct {
	mu    sync.Mutex
	names []string
}

func (t *triedEndpoints) list() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.names...)
}

func (t *triedEndpoints) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names = append(t.names, name)
}

func (n *Node) attemptService(ctx context.Context, s *catalog.Service, c *caller.Call, tried *triedEndpoints) (*endpoint.Result, error) {
	grant, err := n.acquireService(ctx, s, c, tried.list())
	if err != nil {
		return nil, err
	}
	tried.add(grant.Endpoint.Name)
	if grant.Expired(time.Now()) {
		grant.Done(0)
		return nil, errGrantExpired
	}
	return n.callEndpoint(ctx, grant, c, false)
}
