package placement

import (
	"math"
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// decodeStep is the time in which a healthy engine produces a token for each running request while nothing is prefilled; runningStep is
	// the time that each running request adds to it.
	decodeStep  = 3740 * time.Microsecond
	runningStep = 100 * time.Microsecond
	// chunkTokens is the largest number of prompt tokens that an engine prefills in one step.
	chunkTokens = 2048
	// minObservedPrefill is the shortest expected prefill whose duration tells how slow an engine is, and healthyLatency the rest of the time
	// to the first event.
	minObservedPrefill = 20 * time.Millisecond
	healthyLatency     = 10 * time.Millisecond
	// maxPacingSlowdown bounds the measured slowdown that predictions count with: first events that were late for other reasons, such as a
	// preemption, must not stop an engine.
	maxPacingSlowdown = 3
	// pacingSlowdownTimeout is how long a measured slowdown counts without new observations.
	pacingSlowdownTimeout = 10 * time.Second
	// streamDelayShare is the cost of delaying a stream on the engine, as a share of that of delaying the new request's first event, when
	// the stream's gap reaches its target. With 1, long prompts kept away from engines that had their contexts.
	streamDelayShare = 0.1
	// ownGapFactor multiplies what the request's own gaps would exceed their target by: they recur with each event.
	ownGapFactor = 3
)

// pacing predicts the gaps between the events of the streams on an engine from what was placed there.
//
//	load pattern                                what happens
//	no streams with a gap target on the engine  long prompts are placed there freely
//	streams with a gap target                   the closer a long prefill would bring them to it, the more an engine costs
//	all engines at their gap targets            long prompts aren't held back: waiting for the streams lost more targets than it kept
type pacing struct {
	// targets counts the streams by their gap targets, of which there are as many as routes have different ones; shortest is the shortest
	// of those that streams on the engine have, or zero.
	targets  []targetCount
	shortest time.Duration
	// streams is the number of streams with a gap target.
	streams int
	// slowdown is the measured ratio to the expected time of a prefill; unlike the engine's other slowdown none is tolerated.
	slowdown slowdown
	// recent is the number of prompt tokens placed lately, which decays with the shortest gap target, as of recentAt.
	recent   float64
	recentAt clock.Instant
}

type targetCount struct {
	gap   time.Duration
	count int
}

// count adds a number of streams with a gap target.
func (s *pacing) count(gap time.Duration, n int) {
	if gap == 0 {
		return
	}
	i := slices.IndexFunc(s.targets, func(t targetCount) bool { return t.gap == gap })
	if i < 0 {
		i = len(s.targets)
		s.targets = append(s.targets, targetCount{gap: gap})
	}
	s.targets[i].count += n
	s.streams += n
	s.shortest = 0
	for _, t := range s.targets {
		if t.count > 0 && (s.shortest == 0 || t.gap < s.shortest) {
			s.shortest = t.gap
		}
	}
}

// observe records how long the first event of an assignment took, compared with the expectation for a healthy engine.
func (s *pacing) observe(now clock.Instant, ratio float64) {
	if s.slowdown.observedAt == 0 || now.Sub(s.slowdown.observedAt) > pacingSlowdownTimeout {
		s.slowdown.ratio = 1
	}
	s.slowdown.ratio += (min(max(ratio, minSlowdown), maxSlowdown) - s.slowdown.ratio) * slowdownWeight
	s.slowdown.observedAt = now
}

// currentSlowdown returns the ratio of the time that the engine needs to the one expected of a healthy engine.
func (s *pacing) currentSlowdown(now clock.Instant) float64 {
	if s.slowdown.observedAt == 0 || now.Sub(s.slowdown.observedAt) > pacingSlowdownTimeout {
		return 1
	}
	return min(max(minSlowdown, s.slowdown.ratio), maxPacingSlowdown)
}

// recentPrefill returns the number of prompt tokens placed within about the shortest gap target.
func (s *pacing) recentPrefill(now clock.Instant) float64 {
	if s.shortest == 0 {
		return 0
	}
	return s.recent * math.Exp(-float64(now.Sub(s.recentAt))/float64(s.shortest))
}

// placed records that some prompt tokens were placed.
func (s *pacing) placed(now clock.Instant, tokens int) {
	s.recent, s.recentAt = s.recentPrefill(now)+float64(tokens), now
}

// healthyFirstEvent returns the time to the first event that is expected of a healthy engine, or zero if the prefill is too short to tell how
// slow an engine is.
func healthyFirstEvent(prefillSeconds float64, fetchTime time.Duration) time.Duration {
	prefill := time.Duration(prefillSeconds * float64(time.Second))
	if prefill < minObservedPrefill {
		return 0
	}
	return prefill + fetchTime + healthyLatency
}

// gapTarget returns the gap target of a request, or zero if it has none or its output fits into one event.
func (p *Pool) gapTarget(req *Request) time.Duration {
	if p.engine == nil || p.engine.Stride <= 0 || req.Output <= p.engine.Stride {
		return 0
	}
	return req.TargetEventGap
}

// decodeTime returns the time that an engine needs for the tokens of one event while nothing is prefilled.
func (p *Pool) decodeTime(now clock.Instant, s *endpointState) time.Duration {
	step := decodeStep + time.Duration(len(s.assignments))*runningStep
	return time.Duration(max(1, s.pacing.currentSlowdown(now)) * float64(p.engine.Stride) * float64(step))
}

// predictedGap returns the longest gap between events on an engine when some prompt tokens are prefilled within about the time of an event.
func (p *Pool) predictedGap(now clock.Instant, s *endpointState, prefill float64) time.Duration {
	seconds := min(prefill, float64(p.engine.Stride*chunkTokens)) / p.cfg.PrefillRate * s.pacing.currentSlowdown(now)
	return p.decodeTime(now, s) + time.Duration(seconds*float64(time.Second))
}

// pacingCost returns what a request costs the streams on an engine, and what its own gaps exceed its target by. A delay of a stream counts
// the more, the closer its gap comes to its target.
func (p *Pool) pacingCost(now clock.Instant, s *endpointState, req *Request, prefill int) time.Duration {
	target := p.gapTarget(req)
	if target == 0 && s.pacing.shortest == 0 {
		return 0
	}
	queued := s.queuedPrefill(now)
	before := p.predictedGap(now, s, queued)
	cost := time.Duration(0)
	if target > 0 {
		cost = ownGapFactor * max(0, before-target)
	}
	if s.pacing.shortest > 0 {
		after := p.predictedGap(now, s, queued+float64(prefill))
		reached := float64(after) / float64(s.pacing.shortest)
		cost += time.Duration(streamDelayShare * float64(s.pacing.streams) * float64(after-before) * reached * reached)
	}
	return cost
}

// queuedPrefill returns the prompt tokens that are prefilled within about the shortest gap target of the streams on an engine.
func (s *endpointState) queuedPrefill(now clock.Instant) float64 {
	return max(float64(s.prefillTokens), s.pacing.recentPrefill(now))
}

// fitsPrefill reports whether an engine may have a request's prompt tokens queued. A prompt that fits into one chunk isn't held up by less
// urgent ones, which an engine prefills after it.
func (p *Pool) fitsPrefill(s *endpointState, req *Request, tokens int) bool {
	if !p.paced || tokens > chunkTokens {
		return p.fitsPrefillLimit(s.prefillTokens + tokens)
	}
	for _, queued := range s.prefillByPriority[:priorityLevel(req)+1] {
		tokens += queued
	}
	return p.fitsPrefillLimit(tokens)
}

// PredictedGap returns the longest gap between events that is predicted for streams with a gap target on any engine.
func (p *Pool) PredictedGap(now clock.Instant) time.Duration {
	longest := time.Duration(0)
	for _, s := range p.endpointList {
		if s.pacing.shortest > 0 && p.engine != nil {
			longest = max(longest, p.predictedGap(now, s, s.queuedPrefill(now)))
		}
	}
	return longest
}
