package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/transport/upstream"
)

// identityTimeout is how long an endpoint may take to tell which incarnation it is. A sound endpoint may be silent for a second.
const identityTimeout = 1500 * time.Millisecond

// errEndpointRestarted is returned for an endpoint that has started again since it registered.
var errEndpointRestarted = errors.New("endpoint has started again")

// otherEndpoint stands for the start of an endpoint that uses the address of another one.
const otherEndpoint = -1

// onEngine reports whether the request's service consists of model engines, which report their state.
func (j *job) onEngine() bool {
	s := j.table.Services[j.service]
	return s != nil && s.Engine != nil
}

// confirmEnd returns an error unless the endpoint whose answer has ended with its connection still runs. An engine that has already started again
// names another start; of other endpoints only the end of their listeners shows.
func (j *job) confirmEnd(ctx context.Context, endpoint registration.Incarnation, address string) error {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	n := j.node
	if !j.onEngine() || endpoint.StartMilli == 0 {
		if err := n.probe(ctx, address); err != nil {
			return fmt.Errorf("confirm the end of an answer: %w", err)
		}
		return nil
	}
	report, err := n.deps.Engines.Report(ctx, endpoint.ID, address)
	if err == nil && report.StartMilli != 0 && report.StartMilli != endpoint.StartMilli {
		err = errEndpointRestarted
	}
	if err != nil {
		return fmt.Errorf("confirm the end of an answer: %w", err)
	}
	return nil
}

// identify returns the inquiry for the incarnation of an endpoint to which a stream is sent that may go on elsewhere, or goes on here: one that
// has just started again may run other software than it registered. It returns nil for other requests, and for endpoints that don't report
// their start.
func (j *job) identify(endpoint registration.Incarnation) *upstream.Inquiry {
	if j.placementReq.Stream == 0 && j.lastEvent == 0 || !j.onEngine() || endpoint.StartMilli == 0 {
		return nil
	}
	n, misdirected := j.node, false
	target, header := n.deps.Engines.ReportCall(endpoint.ID)
	return &upstream.Inquiry{
		Target: target, Header: header, Process: endpoint.StartMilli,
		Match: func(status int, h http.Header) upstream.Match {
			reply := n.deps.Headers.ReadReply(status, h)
			if reply.ID != "" {
				return upstream.MatchOther
			}
			misdirected = reply.Misdirected
			n.notices.record(endpoint, &reply)
			return upstream.MatchOwn
		},
		Read: func(body io.Reader) (int64, error) {
			if misdirected {
				return otherEndpoint, nil
			}
			report, err := n.deps.Engines.DecodeReport(body)
			switch {
			case err != nil:
				return 0, fmt.Errorf("identify: %w", err)
			case report.StartMilli == 0:
				return endpoint.StartMilli, nil
			}
			return report.StartMilli, nil
		},
	}
}

// unidentified returns the outcome of an attempt that wasn't made since its endpoint didn't prove to be the expected incarnation.
func (j *job) unidentified(choice *placement.Choice, err error) (retry.Outcome, placement.Outcome) {
	j.node.log.Info(event.AttemptFailed, "request not sent to an endpoint that may have started again", zap.String("request", j.head.ID),
		zap.String("endpoint", choice.Endpoint), zap.Int64("started", choice.StartMilli), zap.Error(err))
	if errors.Is(err, upstream.ErrOtherProcess) {
		return retry.NotSent, placement.OutcomeMisdirected
	}
	return retry.NotSent, placement.OutcomeUnreachable
}
