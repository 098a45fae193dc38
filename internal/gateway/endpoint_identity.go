package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/registration"
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
	if err != nil {
		return fmt.Errorf("confirm the end of an answer: %w", err)
	}
	if report.StartMilli != 0 && report.StartMilli != endpoint.StartMilli {
		return fmt.Errorf("confirm the end of an answer: %w", errEndpointRestarted)
	}
	return nil
}
