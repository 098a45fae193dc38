package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
	"gypsumvale/internal/transport/upstream"
)

// maxBufferedBytes is the longest answer that is buffered completely before any of it is sent to the caller, so that a truncated answer
// can be retried.
const maxBufferedBytes = 256 << 10

// maxChoiceAge is how old a placement may be for its cache transfers still to be requested.
const maxChoiceAge = 300 * time.Millisecond

// bufferedReply is an endpoint's answer that has been read completely.
type bufferedReply struct {
	status int
	header http.Header
	length int64
	body   []byte
}

// attempt sends the request to one endpoint and forwards the answer.
func (j *job) attempt(ctx context.Context, choice *placement.Choice) (retry.Outcome, placement.Outcome) {
	watchedCtx, wd := j.startWatchdog(ctx)
	defer wd.stop()
	j.headReceived, j.begun, j.sentAt, j.namedVersion, j.crash = false, false, clock.Now(), 0, nil
	j.barred, j.paused, j.lapsed = nil, false, false
	j.trace, j.answer, j.framed = upstream.Trace{}, exchange.Reply{}, false
	endpoint := j.node.incarnationOf(choice)
	j.software = j.node.discovery.software(choice)
	defer j.node.evacuations.begin(choice)()
	resp, err := j.send(watchedCtx, choice, endpoint)
	if reason := withheld(err); reason != nil {
		j.barred = reason
		return retry.NotSent, placement.OutcomeWithdrawn
	}
	if errors.Is(err, errGrantLapsed) {
		j.lapsed = true
		return retry.NotSent, placement.OutcomeWithdrawn
	}
	if err != nil && errors.Is(context.Cause(watchedCtx), errNotStarted) {
		return j.withdrawn(choice, err)
	}
	if errors.Is(err, upstream.ErrUnidentified) && ctx.Err() == nil {
		return j.unidentified(choice, err)
	}
	if err != nil {
		return j.classifyError(ctx, choice, err)
	}
	defer resp.Close()
	wd.received()
	j.headReceived, j.framed = true, resp.Framed
	j.node.recordSignOfLife(endpoint, j.sentAt)
	reply := j.node.deps.Headers.ReadReply(resp.Status, resp.Header)
	if reply.NotRun {
		// Reading the rest allows the connection to be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes))
		j.paused = reply.Pause > 0
		outcome := rejectionOutcome(&reply, choice)
		if outcome == placement.OutcomeStale {
			j.namedVersion = reply.Version
		}
		return retry.NotRun, outcome
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && (!reply.Sealed || resp.Header.Get("Content-Encoding") != "") {
		j.node.log.Warn(event.AttemptFailed, "answer lacks the endpoint's seal or has a content encoding", zap.String("request", j.head.ID),
			zap.String("endpoint", choice.Endpoint), zap.Bool("sealed", reply.Sealed), zap.String("encoding", resp.Header.Get("Content-Encoding")))
		return retry.Broken, placement.OutcomeFailed
	}
	if j.attempts.ResponseSent() && !success {
		// The head of an earlier answer has been sent and can't be replaced.
		return retry.Broken, placement.OutcomeFailed
	}
	if success && j.route.Kind == route.Stream {
		return j.forwardStream(ctx, choice, resp, wd)
	}
	return j.bufferReply(ctx, choice, resp)
}

// send sends the request with the dispatch headers.
func (j *job) send(ctx context.Context, choice *placement.Choice, endpoint registration.Incarnation) (*upstream.Response, error) {
	headers, notices := j.node.deps.Headers, j.node.notices
	permit := func() error {
		if err := j.permitZone(choice); err != nil {
			return err
		}
		if err := notices.permit(endpoint); err != nil {
			return err
		}
		return checkGrant(clock.Now(), choice)
	}
	if err := permit(); err != nil {
		return nil, fmt.Errorf("attempt: %w", err)
	}
	r := &upstream.Request{
		ID: j.head.ID, Method: j.r.Method, Target: j.target, Host: j.r.Host, Body: j.body, HasBody: j.hasBody(),
		Inquiry: j.identify(endpoint),
		Match: func(status int, h http.Header) upstream.Match {
			reply := headers.ReadReply(status, h)
			notices.record(endpoint, &reply)
			j.answer = reply
			switch {
			case reply.ID == j.head.ID:
				j.node.recordLimit(choice, endpoint, &reply, j.sentAt)
				j.node.recordBrittle(endpoint, reply.Brittle, j.sentAt)
				return upstream.MatchOwn
			case reply.ID == "" && status >= http.StatusMultipleChoices:
				return upstream.MatchUnknown
			}
			return upstream.MatchOther
		},
		ConfirmEnd: func() error { return j.confirmEnd(ctx, endpoint, choice.Address) },
	}
	r.Permit = func() error {
		r.Header = j.dispatchHeader(choice)
		return permit()
	}
	resp, err := j.node.upstreams.Send(ctx, choice.Address, r)
	j.trace = r.Trace
	if err != nil {
		return nil, fmt.Errorf("attempt: %w", err)
	}
	return resp, nil
}

// dispatchHeader returns the header of the request for an endpoint. Some of it depends on the time at which it is sent.
func (j *job) dispatchHeader(choice *placement.Choice) http.Header {
	now := clock.Now()
	if now.Sub(j.placedAt) > maxChoiceAge {
		// By now the sources may have been freed, and the space reserved for a save given to another request.
		choice.FetchFrom, choice.SaveTo = nil, nil
	}
	j.restrictTransfers(choice)
	dispatch := exchange.Dispatch{
		Endpoint: choice.Endpoint, Deadline: j.deadline, Priority: -1, Version: choice.Version, CacheSpace: choice.CacheSpace,
		FetchFrom: choice.FetchFrom, FetchUntil: choice.FetchUntil, SaveTo: choice.SaveTo, LastEvent: j.lastEvent,
	}
	if j.workspace != nil {
		dispatch.Workspace = j.workspace.Name
	}
	if choice.CacheSpace != "" {
		dispatch.Priority = j.placementReq.Priority
	}
	header := j.head.Header.Clone()
	j.node.deps.Headers.WriteHead(header, &dispatch, now)
	return header
}

// withdrawn returns the outcome of an attempt that was ended because it had not started in time. The engine may have started it just now.
func (j *job) withdrawn(choice *placement.Choice, err error) (retry.Outcome, placement.Outcome) {
	j.node.log.Info(event.AttemptFailed, "attempt withdrawn", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint),
		zap.Int("weights", choice.Version), zap.Error(errNotStarted))
	if errors.Is(err, upstream.ErrNotSent) {
		return retry.NotSent, placement.OutcomeWithdrawn
	}
	return retry.Broken, placement.OutcomeWithdrawn
}

// classifyError distinguishes requests that were not sent from those that may have run.
func (j *job) classifyError(ctx context.Context, choice *placement.Choice, err error) (retry.Outcome, placement.Outcome) {
	n := j.node
	if ctx.Err() != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return retry.NotSent, placement.OutcomeWithdrawn
		}
		return retry.Broken, placement.OutcomeWithdrawn
	}
	if j.helper != "" {
		n.log.Info(event.AttemptFailed, "request handed over to a peer failed", zap.String("request", j.head.ID), zap.String("helper", j.helper),
			zap.Error(err))
		return retry.Broken, placement.OutcomeWithdrawn
	}
	n.log.Info(event.AttemptFailed, "attempt failed", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint),
		zap.Error(err))
	if errors.Is(err, upstream.ErrNotSent) {
		if !n.links.awaitCheck(ctx) {
			n.recordFailedDial(n.incarnationOf(choice), err)
		}
		return retry.NotSent, placement.OutcomeUnreachable
	}
	endpoint := n.incarnationOf(choice)
	if n.links.isolated.Load() {
		return retry.Broken, placement.OutcomeUnreachable
	}
	broken := suspect.BrokenExchange{
		Exchange: suspect.Exchange{Parts: prompt.IDs(j.placementReq.SharedParts()), Answering: j.headReceived, SentAt: j.sentAt},
		Digest:   j.digest, Service: j.service, Begun: j.begun, BrokenAt: clock.Now(), StartMilli: endpoint.StartMilli,
	}
	n.recordBroken(endpoint, &broken)
	if errors.Is(err, upstream.ErrStrayResponse) {
		return retry.Broken, placement.OutcomeFailed
	}
	n.upstreams.CloseIdle(choice.Address)
	if n.checkCrash(ctx, endpoint, choice.Address, &broken) && broken.Chargeable() {
		// The exchange may have been taken by the report of another request, which is still on its way.
		j.crash = n.crashReport(choice.Endpoint, &broken)
	}
	return retry.Broken, placement.OutcomeUnreachable
}

func rejectionOutcome(reply *exchange.Reply, choice *placement.Choice) placement.Outcome {
	switch {
	case !reply.Misdirected:
		return placement.OutcomeRejected
	case reply.Endpoint == choice.Endpoint && choice.Version > 0:
		return placement.OutcomeStale
	}
	return placement.OutcomeMisdirected
}

// bufferReply reads a complete answer before any of it is sent to the caller.
func (j *job) bufferReply(ctx context.Context, choice *placement.Choice, resp *upstream.Response) (retry.Outcome, placement.Outcome) {
	if impliesNotRun(resp.Status) {
		// The endpoint ran the request, or may have, but callers read this status as a statement that it did not run, so it must not be
		// forwarded.
		return retry.Broken, placement.OutcomeFailed
	}
	j.replyHeld.Release()
	body, whole, held, err := j.node.guard.ReadReply(resp, resp.Length, maxBufferedBytes)
	j.replyHeld = held
	if err != nil {
		return j.classifyError(ctx, choice, err)
	}
	if resp.Status < http.StatusBadRequest {
		// An error may come from an engine that has not begun to run the prompt, and says nothing of its parts.
		j.recordFirstEvent()
	}
	if !whole {
		return j.forwardOversized(ctx, choice, resp, body)
	}
	j.buffered = &bufferedReply{resp.Status, resp.Header, resp.Length, body}
	if resp.Status >= http.StatusInternalServerError {
		return retry.Failed, placement.OutcomeFailed
	}
	return retry.Answered, placement.OutcomeAnswered
}

// recordFirstEvent records that the answer has begun.
func (j *job) recordFirstEvent() {
	j.begun = true
	if j.helper != "" {
		// The helper knows the endpoint, and has recorded it.
		return
	}
	j.recordOrigin()
	j.node.recordSignOfLife(j.node.incarnationOf(&j.choice), j.sentAt)
	j.node.clearParts(&j.placementReq)
	j.node.placer.reportFirstEvent(&j.placementReq, j.owner)
}

// recordOrigin records at which software version the request's stream goes on from here, wherever its next event comes from.
func (j *job) recordOrigin() {
	if j.placementReq.Stream == 0 {
		return
	}
	j.node.origins.record(&j.placementReq, j.software, true, false)
	j.placementReq.Software = j.software
	if j.software == "" {
		j.placementReq.Software = unknownSoftware
	}
}

// unknownSoftware is the software version of no endpoint: a stream that began at an endpoint of unknown version goes on nowhere else.
const unknownSoftware = "\x00unknown"

// impliesNotRun reports whether callers read a status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardOversized forwards an answer that is too long to be buffered completely. If it breaks off, the connection to the caller is closed.
func (j *job) forwardOversized(
	ctx context.Context, choice *placement.Choice, resp *upstream.Response, prefix []byte,
) (retry.Outcome, placement.Outcome) {
	if resp.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	j.writeHead(resp.Status, resp.Header, false)
	if _, err := j.w.Write(prefix); err != nil {
		j.writeFailed = true
		return retry.Broken, placement.OutcomeWithdrawn
	}
	rest := &errorRecorder{r: resp}
	if _, err := io.Copy(j.w, rest); rest.err != nil {
		return j.classifyError(ctx, choice, rest.err)
	} else if err != nil {
		j.writeFailed = true
		return retry.Broken, placement.OutcomeWithdrawn
	}
	if resp.Status >= http.StatusInternalServerError {
		return retry.Answered, placement.OutcomeFailed
	}
	return retry.Answered, placement.OutcomeAnswered
}

// errorRecorder records the error of a read, to tell an endpoint's failure from a caller's.
type errorRecorder struct {
	r   io.Reader
	err error
}

// Read reads from the underlying reader.
func (e *errorRecorder) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		e.err = err
	}
	return n, err //nolint:wrapcheck // io.Copy compares the error with io.EOF.
}

// writeHead sends the head of an endpoint's answer to the caller, once. resumable is true for a stream that another endpoint may resume.
func (j *job) writeHead(status int, header http.Header, resumable bool) {
	if j.attempts.ResponseSent() {
		return
	}
	j.attempts.RecordResponseSent(resumable)
	j.firstByteAt = clock.Now()
	j.node.metrics.FirstEvent.WithLabelValues(j.route.Kind.String()).Observe(j.firstByteAt.Sub(j.arrived).Seconds())
	h := j.w.Header()
	for name, values := range j.node.deps.Headers.ReplyHeader(header) {
		h[name] = values
	}
	j.describe(h)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps net/http from adding a header of its own.
			h[name] = nil
		}
	}
	j.w.WriteHeader(status)
}

// deliver sends a buffered answer to the caller and records the end of the request; a streamed answer has been sent already.
func (j *job) deliver() {
	status := http.StatusOK
	if !j.attempts.ResponseSent() && j.buffered != nil {
		status = j.buffered.status
		if length := j.buffered.length; j.r.Method != http.MethodHead {
			j.w.Header().Set("Content-Length", strconv.Itoa(len(j.buffered.body)))
		} else if length >= 0 {
			j.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		j.writeHead(status, j.buffered.header, false)
		// Errors are ignored: a caller that has disconnected needs no answer.
		_, _ = j.w.Write(j.buffered.body)
	}
	j.recordEnd("answered", "", status)
}
