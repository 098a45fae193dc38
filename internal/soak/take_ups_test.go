package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	// maxTakeUps is how often a caller takes a broken stream up.
	maxTakeUps = 2
	// minTakeUpTime is the shortest time to its deadline for which a caller still takes a stream up.
	minTakeUpTime = 200 * time.Millisecond
)

// softwareOf returns the software version of an engine: the first half of them runs v1, the others v2.
func softwareOf(engine int) string {
	if engine < engineCount/2 {
		return "v1"
	}
	return "v2"
}

// isRedraft reports whether a path is that of streams that callers take up.
func isRedraft(path string) bool { return strings.HasPrefix(path, redraftPath) }

// stream reports whether the answer to a request is a stream.
func (r *request) stream() bool { return isRedraft(r.path) || r.path == briefPath }

// eventsIn returns the number of complete events in what a caller has received.
func eventsIn(received string) int { return strings.Count(received, "\n\n") }

// takeUp takes a stream up that broke off, at another entry or the same, until it ends or the caller's deadline is near.
func (c *caller) takeUp(first *request) {
	broken, last := first, eventsIn(first.received)
	for i := range maxTakeUps {
		left := time.Until(first.deadline)
		if first.path != redraftPath || broken.abandoned || broken.complete && broken.status == http.StatusOK || last == 0 || last == streamEvents ||
			left < minTakeUpTime {
			return
		}
		next := &request{
			id: fmt.Sprintf("%s-%d", first.id, i+1), path: first.path, body: first.body, key: first.key, workspace: first.workspace,
			entry: pick(c.takeUps, c.site.entries), began: first, lastEvent: last, events: first.events,
		}
		c.send(next, left)
		if next.status == http.StatusOK {
			last += eventsIn(next.received)
		}
		broken = next
	}
}

// wantedStream returns the events after the last one that the caller had.
func (r *request) wantedStream() string {
	var events strings.Builder
	for n := r.lastEvent + 1; n <= r.events; n++ {
		events.WriteString(hosted.Event(n))
	}
	return events.String()
}

// software returns the software version that sent a stream's first event, or an empty string if it isn't known.
func (r *request) software(j *journal) string {
	software := ""
	for _, run := range j.runs[r.id] {
		if r.seal == hosted.Seal(run.Endpoint, r.id) {
			software = run.Run.Software
		}
	}
	return software
}

// checkVersions checks that a stream went on only at engines of the software version that began it, within one answer and over the caller's
// attempts. This holds under every disturbance.
func (s *site) checkVersions(r *request, j *journal) {
	for _, joined := range s.joinedRuns(r, j) {
		s.breach("%s", joined)
	}
}

// joinedRuns describes the runs of a request at engines of another software version than the one that began its stream.
func (s *site) joinedRuns(r *request, j *journal) []string {
	began := r
	if r.began != nil {
		began = r.began
	}
	if !isRedraft(r.path) || eventsIn(began.received) == 0 {
		return nil
	}
	want := began.software(j)
	var joined []string
	for _, run := range j.runs[r.id] {
		if run.Run.LastEvent > 0 && want != "" && run.Run.Software != want {
			joined = append(joined, fmt.Sprintf("%s goes on at %s after event %d, with software %s; its stream began with %s, seal %s", r.id, run.Endpoint,
				run.Run.LastEvent, run.Run.Software, want, began.seal))
		}
	}
	return joined
}
