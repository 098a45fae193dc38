package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// regressions are seeds that found a fault, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{26, "a configuration that can't be decoded hid the revocation of a key"},
	{3, "changes were ignored after the metadata store was restored from a copy"},
	{2, "streams without length and chunks ended as complete ones when their engine was killed"},
}

func envUint(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

const (
	// defaultSeconds is how long faults are injected in the default run and in regressions.
	defaultSeconds = 12
	// readyTimeout is the time from the start or the last fault until all entries must be ready.
	readyTimeout = 8 * time.Second
	// versionsTimeout is the time until streams begin at a site that starts with two software versions, beyond the 3 s for which these settle.
	versionsTimeout = 5 * time.Second
	// healthyRequests is the number of requests through each entry before the first and after the last fault.
	healthyRequests = 40
	// weightsTimeout is the time until all engines must run the weights announced last, after the faults have ended.
	weightsTimeout = 15 * time.Second
)

// TestSoak runs load and random faults on a site; SOAK_SEED and SOAK_SECONDS set the random seed and the duration.
func TestSoak(t *testing.T) {
	runSoak(t, envUint("SOAK_SEED", 1), time.Duration(envUint("SOAK_SECONDS", defaultSeconds))*time.Second)
}

// TestRegressions runs the seeds that found faults before.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("%d %s", r.seed, r.cause), func(t *testing.T) { runSoak(t, r.seed, defaultSeconds*time.Second) })
	}
}

func runSoak(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	s := newSite(t)
	o := newOperator(s, []hosted.Route{
		newRoute(readPath, "idempotent", "calendar", 3, false), newRoute(bookPath, "non_idempotent", "calendar", 1, false),
		newRoute(redraftPath, "streaming", "engines", 3, true), newRoute(briefPath, "streaming", "engines", 1, false),
	}, []map[string]any{hosted.PlainService("calendar"), hosted.EngineService("engines", hosted.SiteModel, 16)})
	s.waitReady(time.Now().Add(readyTimeout))
	done := make(chan struct{})
	defer close(done)
	go s.detectStalls(done)
	s.waitSettled(o, time.Now().Add(versionsTimeout))
	s.expectHealthy(o)
	end := time.Now().Add(duration)
	callers := s.startCallers(o, seed, end.Add(time.Second))
	faults := s.injectAll(seed, o, end)
	callers.Wait()
	s.waitReady(time.Now().Add(readyTimeout))
	s.settle(o, time.Now().Add(max(settleTime, maxPause+2*time.Second)))
	s.expectHealthy(o)
	s.expectWeights(o, time.Now().Add(weightsTimeout))
	s.checkResults(o)
	s.report(seed, faults)
}

// waitSettled waits until streams begin through all entries, and records a breach if they don't by the deadline.
func (s *site) waitSettled(o *operator, deadline time.Time) {
	c := newCaller(s, o, 0, callerCount+len(s.callers))
	s.callers = append(s.callers, c)
	for _, m := range s.entries {
		for {
			r := c.nextRequest()
			r.path, r.entry = redraftPath, m
			c.send(r, 3*time.Second)
			if r.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.breach("%s began no streams in time: status %d, %.100s", m.name, r.status, r.received)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// settle sends requests until the given time, which may be rejected: only the answer to a request shows that an endpoint names no limit any
// more.
func (s *site) settle(o *operator, end time.Time) {
	c := newCaller(s, o, 0, callerCount+len(s.callers))
	s.callers = append(s.callers, c)
	c.run(end)
}

// expectHealthy sends requests one after another; each must succeed at the first attempt.
func (s *site) expectHealthy(o *operator) {
	c := newCaller(s, o, 0, callerCount+len(s.callers))
	s.callers = append(s.callers, c)
	for range healthyRequests {
		for _, m := range s.entries {
			r := c.nextRequest()
			r.entry = m
			o.mu.Lock()
			r.key = o.keys[r.workspace]
			o.mu.Unlock()
			c.drawHangUp(r)
			c.send(r, 3*time.Second)
			if !r.abandoned && s.undisturbed(r.sent.Add(-maxRevocationDelay), r.finished, machine) && (r.status != http.StatusOK || !r.complete) {
				s.breach("%s %s through %s failed without any fault: status %d, %v, %.100s", r.id, r.path, m.name, r.status, r.err, r.received)
			}
		}
	}
}

// expectWeights waits until each engine's last order, or its initial version if it has none since its start, is the version announced
// last.
func (s *site) expectWeights(o *operator, deadline time.Time) {
	for {
		j := s.readJournal()
		behind := ""
		for _, m := range s.endpoints[:engineCount] {
			version := 1
			for _, record := range j.records[m.name] {
				switch {
				case record.Started:
					version = 1
				case record.Order != nil:
					version = record.Order.Version
				}
			}
			if version != o.weights {
				behind = fmt.Sprintf("%s runs weight version %d instead of %d", m.name, version, o.weights)
			}
		}
		if behind == "" {
			return
		}
		if time.Now().After(deadline) {
			s.breach("%s", behind)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// report prints a summary line. If there are breaches it fails the test with them, and saves the outputs of the processes.
func (s *site) report(seed uint64, faults int) {
	counts := make(map[string]int)
	for _, r := range s.requests() {
		if r.began != nil {
			counts["taken up"]++
			if strings.HasSuffix(r.wantedStream(), r.received) && r.status == http.StatusOK {
				counts["went on"]++
			}
		}
		switch {
		case r.abandoned:
			counts["left"]++
		case r.status == http.StatusOK && r.complete:
			counts["whole"]++
		case refused(r.status):
			counts["refused"]++
		default:
			counts["other"]++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("SOAK     seed %d: %d faults; requests: %d whole, %d refused, %d failed, %d left by callers; %d of %d streams taken up went on; "+
		"machine stalled %v; %d breaches\n", seed, faults, counts["whole"], counts["refused"], counts["other"], counts["left"], counts["went on"],
		counts["taken up"], s.stalled().Round(time.Millisecond), len(s.breaches))
	s.reportBreaches(fmt.Sprintf("gypsum-soak-%d", seed))
}

// stalled returns for how long the machine was too busy; the caller holds the lock.
func (s *site) stalled() time.Duration {
	stalled := time.Duration(0)
	for _, f := range s.disturbances {
		if f.part == machine {
			stalled += f.to.Sub(f.from)
		}
	}
	return stalled
}

// keepOutputs is true if the outputs of runs without a breach are saved too.
var keepOutputs = os.Getenv("SOAK_KEEP") != ""

// reportBreaches fails the test with the breaches, if there are any, and then saves the outputs of the processes in a folder; the caller holds
// the lock.
func (s *site) reportBreaches(folder string) {
	if len(s.breaches) == 0 && !keepOutputs {
		return
	}
	const maxPrinted = 20
	for i, b := range s.breaches {
		if i == maxPrinted {
			s.t.Errorf("and %d more", len(s.breaches)-maxPrinted)
			break
		}
		s.t.Error(b)
	}
	saved := filepath.Join(os.TempDir(), folder)
	_ = os.RemoveAll(saved)
	if err := os.CopyFS(saved, os.DirFS(s.dir)); err != nil {
		s.t.Errorf("save outputs: %v", err)
		return
	}
	s.writeDisturbances(filepath.Join(saved, "troubles"))
	s.t.Logf("outputs saved in %s", saved)
}

// writeDisturbances writes all disturbances and requests with their times to a file; the caller holds the lock.
func (s *site) writeDisturbances(path string) {
	text := ""
	for _, f := range s.disturbances {
		text += fmt.Sprintf("%s to %s %s %s\n", f.from.Format(time.RFC3339Nano), f.to.Format(time.RFC3339Nano), f.kind, f.part)
	}
	for _, c := range s.callers {
		for _, r := range c.requests {
			text += fmt.Sprintf("%s request %s %s %s status %d whole %v left %v %v\n", r.sent.Format(time.RFC3339Nano), r.id, r.path, r.entry.name, r.status, r.complete, r.abandoned, r.err)
		}
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Error(err)
	}
}
