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

// generate runs the prompt on the granted endpoint until its answer is complete.
func (j *job) generate(ctx context.Context, grant *group.Grant) error {
	n := j.node
	version := j.bindVersion(grant)
	pieces := piece.Names(j.cacheScope(version), j.text)
	r := &engine.Request{
		Attempt:   uuid.NewString(),
		Stream:    j.stream,
		Model:     j.deployment.Model,
		Version:   version,
		Prompt:    j.text,
		MaxTokens: j.prompt.Request.MaxTokens,
		Priority:  shortPriority,
		Pieces:    pieces,
	}
	var linkWait time.Duration
	if !grant.Warm {
		linkWait = j.planFetch(ctx, r)
	}
	// The wait for the store's link doesn't count: a grant expires to detect that this process was paused.
	if grant.Expired(time.Now().Add(-linkWait)) && ctx.Err() == nil {
		return errGrantExpired
	}
	r.From = j.verifier.Begin(r.Attempt)
	if j.stream != "" {
		go n.registerStream(j.stream, grant.Endpoint.Name)
	}
	j.begun = false
	j.sentAt = time.Now()
	j.engineRunID = grant.RunID
	if j.engineRunID == "" {
		j.engineRunID = n.health.runID(grant.Endpoint.Name)
	}
	err := n.endpoints.Generate(ctx, grant.Endpoint.Address, r, func(c *engine.Chunk) error {
		return j.handleChunk(grant, c)
	})
	if errors.Is(err, errAnswerComplete) {
		if j.endChunk.Recomputed > 0 || j.endChunk.Reused > 0 {
			go n.exportContext(grant.Endpoint.Name, pieces)
		}
		return nil
	}
	return err
}

// planFetch waits for the store's link, adds the blocks of the stored prefix to the request, and returns the planned wait.
func (j *job) planFetch(ctx context.Context, r *engine.Request) time.Duration {
	store, plan := j.node.reserveFetch(ctx, r.Pieces)
	if store == nil || len(plan.Blocks) == 0 {
		return 0
	}
	duty.Sleep(ctx, plan.Wait)
	r.Store, r.Blocks = store.Address, plan.Blocks
	return plan.Wait
}

// errAnswerComplete stops reading the stream once the answer is verified.
var errAnswerComplete = errors.New("answer complete")

// handleChunk verifies a chunk and passes its text to the caller. Chunks of other attempts and repeated chunks are dropped.
func (j *job) handleChunk(grant *group.Grant, c *engine.Chunk) error {
	err := j.verifier.Verify(c)
	if errors.Is(err, answer.ErrOtherAttempt) || errors.Is(err, answer.ErrRepeated) {
		j.node.metrics.DroppedChunks.WithLabelValues(dropLabel(err)).Inc()
		return nil
	}
	if err != nil {
		return err
	}
	if !j.begun {
		j.begun = true
		j.node.clearPieces(j.pieces)
	}
	if c.End {
		j.endChunk = *c
		return errAnswerComplete
	}
	j.recordTokenTime(grant)
	if err := j.sink.Token(c.Text); err != nil {
		return errCallerGone
	}
	return nil
}

func dropLabel(err error) string {
	if errors.Is(err, answer.ErrOtherAttempt) {
		return "foreign"
	}
	return "repeated"
}

// recordTokenTime observes the time to the first token and the time between tokens, and reports the former to the grant's owner.
func (j *job) recordTokenTime(grant *group.Grant) {
	now := time.Now()
	m := j.node.metrics
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = now
		m.FirstToken.WithLabelValues(grant.Class().String()).Observe(now.Sub(j.prompt.ArrivedAt).Seconds())
		grant.Progress(j.firstTokenRatio(now.Sub(j.sentAt)))
	} else {
		m.InterToken.Observe(now.Sub(j.lastTokenAt).Seconds())
	}
	j.lastTokenAt = now
}

// firstTokenRatio divides the time to the first token by the time expected if the whole prompt is recomputed. A prefix from the cache
// makes it faster, which counts as healthy.
func (j *job) firstTokenRatio(took time.Duration) float64 {
	return timeRatio(took, j.expectedFirstToken())
}

// expectedFirstToken returns the time to the first token on a healthy engine that recomputes the whole prompt.
func (j *job) expectedFirstToken() time.Duration {
	return j.node.rates.PrefillTime(piece.EstimateTokens(j.text)) + j.node.rates.TokenTime
}

func (j *job) serviceTimeRatio(grant *group.Grant, started time.Time) float64 {
	return timeRatio(time.Since(started), grant.Cost())
}

// timeRatio divides the time taken, less overhead for delays in this process and the network, by the expected time.
func timeRatio(took, expected time.Duration) float64 {
	const overhead = 10 * time.Millisecond
	return float64(max(took-overhead, time.Millisecond)) / float64(max(expected, time.Millisecond))
}

func (j *job) finish() *caller.Completion {
	usage := api.Usage{
		PromptTokens:     piece.EstimateTokens(j.text),
		CompletionTokens: j.verifier.Count(),
		ReusedTokens:     j.endChunk.Reused,
		FetchedTokens:    j.endChunk.Fetched,
		RecomputedTokens: j.endChunk.Recomputed,
	}
	tokens := j.node.metrics.ContextTokens
	tokens.WithLabelValues("reused").Add(float64(usage.ReusedTokens))
	tokens.WithLabelValues("fetched").Add(float64(usage.FetchedTokens))
	tokens.WithLabelValues("recomputed").Add(float64(usage.RecomputedTokens))
	return &caller.Completion{Version: j.verifier.Version, Usage: usage}
}
