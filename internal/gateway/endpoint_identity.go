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
	"gypsumvale/internal/coordination/rollout"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/transport/upstream"
)

// identityTimeout is how long an endpoint may take to tell which incarnation it is. A sound endpoint may be silent for a second.
const identityTimeout = 1500 * time.Millisecond

// errEndpointRestarted is returned for an endpoint that has started again since it registered.
var errEndpointRestarted = errors.New("endpoint has started again")

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
	if err == nil {
		err = checkIncarnation(endpoint, &report)
	}
	if err != nil {
		return fmt.Errorf("confirm the end of an answer: %w", err)
	}
	return nil
}

// checkIncarnation returns errEndpointRestarted if an endpoint's report is that of another incarnation.
func checkIncarnation(endpoint registration.Incarnation, report *rollout.Report) error {
	if report.StartMilli != 0 && report.StartMilli != endpoint.StartMilli {
		return errEndpointRestarted
	}
	return nil
}

// identify returns the inquiry that has to precede a request which goes on with a stream: an endpoint that has just started again may run other
// software than it registered. It returns nil for other requests, and for endpoints that don't report their state.
func (j *job) identify(endpoint registration.Incarnation) *upstream.Inquiry {
	if j.lastEvent == 0 || !j.onEngine() || endpoint.StartMilli == 0 {
		return nil
	}
	n := j.node
	target, header := n.deps.Engines.ReportCall(endpoint.ID)
	return &upstream.Inquiry{
		Target: target, Header: header,
		Match: func(status int, h http.Header) upstream.Match {
			reply := n.deps.Headers.ReadReply(status, h)
			if reply.ID != "" {
				return upstream.MatchOther
			}
			n.notices.record(endpoint, &reply)
			return upstream.MatchOwn
		},
		Check: func(body io.Reader) error {
			report, err := n.deps.Engines.DecodeReport(body)
			if err != nil {
				return fmt.Errorf("identify: %w", err)
			}
			return checkIncarnation(endpoint, &report)
		},
	}
}

// unidentified returns the outcome of an attempt that wasn't made since its endpoint didn't prove to be the expected incarnation.
func (j *job) unidentified(choice *placement.Choice, err error) (retry.Outcome, placement.Outcome) {
	j.node.log.Info(event.AttemptFailed, "request not sent to an endpoint that may have started again", zap.String("request", j.head.ID),
		zap.String("endpoint", choice.Endpoint), zap.Int64("started", choice.StartMilli), zap.Error(err))
	if errors.Is(err, errEndpointRestarted) {
		return retry.NotSent, placement.OutcomeMisdirected
	}
	return retry.NotSent, placement.OutcomeUnreachable
}
