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
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/route"
	"gypsumvale/internal/transport/upstream"
)

// maxWholeBytes is the longest answer that is read whole before any of it goes to the caller, so that a cut one can be repeated.
const maxWholeBytes = 256 << 10

// choiceAge is how old a choice may be for its transfers to be made.
const choiceAge = 300 * time.Millisecond

// wholeReply is an endpoint's answer that has been read to its end.
type wholeReply struct {
	status int
	header http.Header
	length int64
	body   []byte
}

// attempt offers the request to one endpoint and hands on what comes.
func (j *job) attempt(ctx context.Context, choice *placement.Choice) (retry.Outcome, placement.Outcome) {
	watched, dog := j.watch(ctx)
	defer dog.end()
	resp, err := j.send(watched, choice)
	if err != nil {
		return j.failed(ctx, choice, err)
	}
	defer resp.Close()
	dog.hear()
	reply := j.node.outside.Headers.ReadReply(resp.Status, resp.Header)
	if reply.NotRun {
		// Reading the rest lets the connection be used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxWholeBytes))
		return retry.NotRun, rejectedEnd(&reply, choice)
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && (!reply.Sealed || resp.Header.Get("Content-Encoding") != "") {
		j.node.log.Warn(event.AttemptFailed, "answer is not the endpoint's", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint),
			zap.Bool("sealed", reply.Sealed), zap.String("encoding", resp.Header.Get("Content-Encoding")))
		return retry.Broken, placement.OutcomeFailed
	}
	if j.committed && !success {
		// The head of another answer has gone out, and this one can't take its place.
		return retry.Broken, placement.OutcomeFailed
	}
	if success && j.route.Kind == route.Stream {
		return j.relay(ctx, choice, resp, dog)
	}
	return j.readWhole(ctx, choice, resp)
}

// send sends the request with what the system says of it; everything that time may have changed is said as of now.
func (j *job) send(ctx context.Context, choice *placement.Choice) (*upstream.Response, error) {
	dialect := j.node.outside.Headers
	now := clock.Now()
	if now.Sub(j.chosen) > choiceAge {
		// The sources may be freed by now, and the place for a save given to another.
		choice.FetchFrom, choice.SaveTo = nil, nil
	}
	dispatch := exchange.Dispatch{
		Endpoint: choice.Endpoint, Deadline: j.deadline, Priority: -1, Version: choice.Version, CacheSpace: choice.CacheSpace,
		FetchFrom: choice.FetchFrom, FetchUntil: choice.FetchUntil, SaveTo: choice.SaveTo, LastEvent: j.lastEvent,
	}
	if j.workspace != nil {
		dispatch.Workspace = j.workspace.Name
	}
	if choice.CacheSpace != "" {
		dispatch.Priority = j.ask.Priority
	}
	header := j.head.Header.Clone()
	dialect.WriteHead(header, &dispatch, now)
	resp, err := j.node.endpoints.Send(ctx, choice.Address, &upstream.Request{
		Method: j.r.Method, Target: j.target, Host: j.r.Host, Header: header, Body: j.body,
		HasBody: j.r.ContentLength != 0 || len(j.r.TransferEncoding) > 0 || j.r.Method == http.MethodPost,
		Accepts: func(status int, h http.Header) bool {
			id := dialect.ReadReply(status, h).ID
			return id == j.head.ID || id == "" && status >= http.StatusMultipleChoices
		},
	})
	if err != nil {
		return nil, fmt.Errorf("attempt: %w", err)
	}
	return resp, nil
}

// failed tells apart what was not sent from what may have run.
func (j *job) failed(ctx context.Context, choice *placement.Choice, err error) (retry.Outcome, placement.Outcome) {
	n := j.node
	if ctx.Err() != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return retry.NotSent, placement.OutcomeWithdrawn
		}
		return retry.Broken, placement.OutcomeWithdrawn
	}
	n.log.Info(event.AttemptFailed, "attempt failed", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint), zap.Error(err))
	if errors.Is(err, upstream.ErrNotSent) {
		n.noteCrash(choice.Endpoint)
		return retry.NotSent, placement.OutcomeUnreachable
	}
	n.suspects.noteBroken(choice.Endpoint, j.digest)
	if errors.Is(err, upstream.ErrStrayResponse) {
		return retry.Broken, placement.OutcomeFailed
	}
	n.endpoints.CloseIdle(choice.Address)
	return retry.Broken, placement.OutcomeUnreachable
}

func rejectedEnd(reply *exchange.Reply, choice *placement.Choice) placement.Outcome {
	switch {
	case !reply.Misdirected:
		return placement.OutcomeRejected
	case reply.Endpoint == choice.Endpoint && choice.Version > 0:
		return placement.OutcomeStale
	}
	return placement.OutcomeMisdirected
}

// readWhole reads an answer to its end before anything of it goes to the caller.
func (j *job) readWhole(ctx context.Context, choice *placement.Choice, resp *upstream.Response) (retry.Outcome, placement.Outcome) {
	body, err := io.ReadAll(io.LimitReader(resp, maxWholeBytes))
	j.node.placer.firstEvent(&j.ask, j.owner)
	if err != nil {
		return j.failed(ctx, choice, err)
	}
	if len(body) == maxWholeBytes {
		return j.copyLong(ctx, choice, resp, body)
	}
	j.reply = &wholeReply{resp.Status, resp.Header, resp.Length, body}
	switch {
	case isPromise(resp.Status):
		// The endpoint ran the request, or may have, so its status must not reach the caller: there it says that nothing ran.
		j.reply = nil
		return retry.Broken, placement.OutcomeFailed
	case resp.Status >= http.StatusInternalServerError:
		return retry.Failed, placement.OutcomeFailed
	}
	return retry.Answered, placement.OutcomeAnswered
}

// isPromise reports whether callers take a status as the promise that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyLong hands on an answer that is too long to be read whole first.
func (j *job) copyLong(ctx context.Context, choice *placement.Choice, resp *upstream.Response, begin []byte) (retry.Outcome, placement.Outcome) {
	j.writeHead(resp.Status, resp.Header)
	if resp.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	if _, err := j.w.Write(begin); err != nil {
		return retry.Broken, placement.OutcomeWithdrawn
	}
	if _, err := io.Copy(j.w, resp); err != nil {
		return j.failed(ctx, choice, err)
	}
	return retry.Answered, placement.OutcomeAnswered
}

// writeHead hands on the head of an endpoint's answer, once.
func (j *job) writeHead(status int, header http.Header) {
	if j.committed {
		return
	}
	j.committed = true
	j.first = clock.Now()
	j.node.metrics.FirstEvent.WithLabelValues(j.route.Kind.String()).Observe(j.first.Sub(j.arrived).Seconds())
	h := j.w.Header()
	for name, values := range j.node.outside.Headers.ReplyHeader(header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps the library from adding one of its own.
			h[name] = nil
		}
	}
	j.w.WriteHeader(status)
}

// deliver hands on the answer that has been read whole; one that was handed on as it came needs nothing more.
func (j *job) deliver() {
	status := http.StatusOK
	if !j.committed && j.reply != nil {
		status = j.reply.status
		if length := j.reply.length; j.r.Method != http.MethodHead {
			j.w.Header().Set("Content-Length", strconv.Itoa(len(j.reply.body)))
		} else if length >= 0 {
			j.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		j.writeHead(status, j.reply.header)
		// A caller that has gone needs no answer.
		_, _ = j.w.Write(j.reply.body)
	}
	j.end("answered", "", status)
}
