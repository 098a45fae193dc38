package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/protocol/answer"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/state/piece"
	"gypsumvale/internal/transport/caller"
)

// attempt runs the prompt at the granted endpoint until its answer is whole.
func (j *job) attempt(ctx context.Context, grant *group.Grant) error {
	n := j.node
	version := j.bind(grant)
	names := piece.Names(j.scope(version), j.text)
	r := &engine.Request{
		Attempt:   uuid.NewString(),
		Stream:    j.stream,
		Model:     j.deployment.Model,
		Version:   version,
		Prompt:    j.text,
		MaxTokens: j.prompt.Request.MaxTokens,
		Priority:  shortPriority,
		Pieces:    names,
	}
	var waited time.Duration
	if !grant.Warm {
		waited = j.planFetch(ctx, r)
	}
	// What was waited for the link is no pause of this process.
	if grant.Expired(time.Now().Add(-waited)) && ctx.Err() == nil {
		return errLapsed
	}
	r.From = j.verifier.Begin(r.Attempt)
	if j.stream != "" {
		go n.registerStream(j.stream, grant.Endpoint.Name)
	}
	j.sent = time.Now()
	j.life = n.health.life(grant.Endpoint.Name)
	err := n.endpoints.Generate(ctx, grant.Endpoint.Address, r, func(c *engine.Chunk) error {
		return j.take(grant, c)
	})
	if errors.Is(err, errWhole) {
		if j.end.Recomputed > 0 || j.end.Reused > 0 {
			go n.exportLater(grant.Endpoint.Name, names)
		}
		return nil
	}
	return err
}

// planFetch adds the blocks of the stored prefix, after waiting for the link; it returns the time that it was to wait.
func (j *job) planFetch(ctx context.Context, r *engine.Request) time.Duration {
	store, plan := j.node.fetchPlan(ctx, r.Pieces)
	if store == nil || len(plan.Blocks) == 0 {
		return 0
	}
	duty.Sleep(ctx, plan.Wait)
	r.Store, r.Blocks = store.Address, plan.Blocks
	return plan.Wait
}

// errWhole ends the reading of a verified answer.
var errWhole = errors.New("answer is whole")

// take checks a chunk and passes its text on; foreign and repeated chunks are dropped.
func (j *job) take(grant *group.Grant, c *engine.Chunk) error {
	err := j.verifier.Verify(c)
	if errors.Is(err, answer.ErrOtherAttempt) || errors.Is(err, answer.ErrRepeated) {
		j.node.metrics.DroppedChunks.WithLabelValues(dropLabel(err)).Inc()
		return nil
	}
	if err != nil {
		return err
	}
	if c.End {
		j.end = *c
		return errWhole
	}
	j.observe(grant)
	if err := j.sink.Token(c.Text); err != nil {
		return errSink
	}
	return nil
}

func dropLabel(err error) string {
	if errors.Is(err, answer.ErrOtherAttempt) {
		return "foreign"
	}
	return "repeated"
}

// observe measures the time to first token and between tokens.
func (j *job) observe(grant *group.Grant) {
	now := time.Now()
	m := j.node.metrics
	if j.first.IsZero() {
		j.first = now
		m.FirstToken.WithLabelValues(grant.Class().String()).Observe(now.Sub(j.prompt.ArrivedAt).Seconds())
		grant.Progress(j.firstRatio(now.Sub(j.sent)))
	} else {
		m.InterToken.Observe(now.Sub(j.last).Seconds())
	}
	j.last = now
}

// firstRatio compares the first token's time with a recompute of the whole prompt; a faster one counts as healthy.
func (j *job) firstRatio(took time.Duration) float64 {
	return ratioOf(took, j.expectedFirst())
}

// expectedFirst is the time to the first token of a prompt that is read whole, on a healthy engine.
func (j *job) expectedFirst() time.Duration {
	return j.node.rates.PrefillTime(piece.EstimateTokens(j.text)) + j.node.rates.TokenTime
}

func (j *job) ratio(grant *group.Grant, started time.Time) float64 {
	return ratioOf(time.Since(started), grant.Cost())
}

// ratioOf compares times; small delays that are due to this process and the network don't count.
func ratioOf(took, expected time.Duration) float64 {
	const slack = 10 * time.Millisecond
	return float64(max(took-slack, time.Millisecond)) / float64(max(expected, time.Millisecond))
}

func (j *job) finish() *caller.Completion {
	usage := api.Usage{
		PromptTokens:     piece.EstimateTokens(j.text),
		CompletionTokens: j.verifier.Count(),
		ReusedTokens:     j.end.Reused,
		FetchedTokens:    j.end.Fetched,
		RecomputedTokens: j.end.Recomputed,
	}
	tokens := j.node.metrics.ContextTokens
	tokens.WithLabelValues("reused").Add(float64(usage.ReusedTokens))
	tokens.WithLabelValues("fetched").Add(float64(usage.FetchedTokens))
	tokens.WithLabelValues("recomputed").Add(float64(usage.RecomputedTokens))
	return &caller.Completion{Version: j.verifier.Version, Usage: usage}
}
