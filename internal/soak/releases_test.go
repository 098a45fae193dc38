package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	// defaultReleaseSeed is an even seed: with the longer bound on revocation, entries that are cut off go on serving.
	defaultReleaseSeed    = 2
	defaultReleaseSeconds = 25
	releaseEntryCount     = 15
	releaseCallerCount    = 60
	releaseServiceCount   = 3
	// releaseEngineCount is the number of engines of a service at one software version.
	releaseEngineCount = 3
	// Streams last over a second, so that many are broken off.
	releaseEvents    = 20
	releaseEventTime = 60 * time.Millisecond
	// longRevocation is the bound on revocation for even seeds, during which an entry serves without the store; others have maxRevocationDelay.
	longRevocation = 15 * time.Second
	// maxFirstRelease is the latest start of a service's first release. Only that one replaces the only version that was in service lately.
	maxFirstRelease = 10 * time.Second
	// minReleaseTime is the shortest time between the starts of two releases.
	minReleaseTime = 3500 * time.Millisecond
	// maxDrainTime is how long a leaving engine may run on.
	maxDrainTime = 10 * time.Second
)

var releaseZones = []string{"a", "b", "c"}

// generation holds the engines of one release, whose identifiers are new.
type generation struct {
	software string
	engines  []*node
}

// rollout is the series of releases of a service; the first generation serves from the start.
type rollout struct {
	service, path string
	generations   []generation
}

// TestReleases runs releases that put engines of two software versions side by side, while entries are cut off and callers take broken streams
// up elsewhere; SOAK_SEED and SOAK_SECONDS set the random seed and the duration.
func TestReleases(t *testing.T) {
	runReleases(t, envUint("SOAK_SEED", defaultReleaseSeed), time.Duration(envUint("SOAK_SECONDS", defaultReleaseSeconds))*time.Second)
}

func runReleases(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	revocation := maxRevocationDelay
	if seed%2 == 0 {
		revocation = longRevocation
	}
	s := newStore(t, releaseZones, revocation)
	var rollouts []*rollout
	for i := range releaseServiceCount {
		rollouts = append(rollouts, s.newRollout(rand.New(rand.NewPCG(seed, 1<<40+uint64(i))), i, 2+int(duration/minReleaseTime)))
	}
	for i := range releaseEntryCount {
		s.addEntry(i)
	}
	o := newReleaseOperator(s, rollouts)
	s.waitReady(time.Now().Add(2 * readyTimeout))
	done := make(chan struct{})
	defer close(done)
	go s.detectStalls(done)
	s.expectStreams(o, rollouts)

	stop := make(chan struct{})
	callers := s.startStreamCallers(o, rollouts, seed, stop)
	faults, releases := s.injectReleases(seed, o, rollouts, time.Now().Add(duration))
	s.waitReady(time.Now().Add(2 * readyTimeout))
	time.Sleep(settleTime)
	close(stop)
	callers.Wait()
	s.expectStreams(o, rollouts)
	s.reportReleases(seed, faults, releases, s.checkReleases(o))
}

// newRollout prepares the engines of a service, and starts those of the first generation.
func (s *site) newRollout(random *rand.Rand, service, generations int) *rollout {
	rel := &rollout{service: fmt.Sprintf("engines-%d", service), path: fmt.Sprintf("%s%d/", redraftPath, service)}
	version := 1
	for g := range generations {
		switch {
		case g == 0:
		case version > 1 && random.IntN(3) == 0:
			// The release is taken back, with engines of new identifiers.
			version--
		default:
			version++
		}
		next := generation{software: fmt.Sprintf("v%d", version)}
		for i := range releaseEngineCount {
			next.engines = append(next.engines, s.newEndpoint(fmt.Sprintf("%s-g%d-%d", rel.service, g, i), s.zones[i%len(s.zones)], "--service", rel.service, "--model",
				hosted.SiteModel, "--events", fmt.Sprint(releaseEvents), "--software", next.software, "--work", releaseEventTime.String()))
		}
		rel.generations = append(rel.generations, next)
	}
	for _, m := range rel.generations[0].engines {
		s.startServing(m)
	}
	return rel
}

func newReleaseOperator(s *site, rollouts []*rollout) *operator {
	routes := []hosted.Route{newRoute(briefPath, "streaming", rollouts[0].service, 1, false)}
	var services []map[string]any
	for _, rel := range rollouts {
		routes = append(routes, newRoute(rel.path, "streaming", rel.service, 3, true))
		services = append(services, hosted.EngineService(rel.service, hosted.SiteModel, 16))
	}
	return newOperator(s, routes, services)
}

// startServing starts an engine that faults may disturb from then on.
func (s *site) startServing(m *node) {
	s.start(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = append(s.serving, m)
}

// retire ends an engine for good: it leaves, or is killed.
func (s *site) retire(m *node, kill bool) {
	for !s.claim(m.name) {
		time.Sleep(stallCheckInterval)
	}
	s.mu.Lock()
	s.serving = slices.DeleteFunc(s.serving, func(other *node) bool { return other == m })
	now := time.Now()
	s.disturbances = append(s.disturbances, disturbance{"retire", m.name, now, now.Add(time.Hour)})
	s.mu.Unlock()
	if !kill {
		select {
		case <-m.signal(syscall.SIGTERM).exited:
			return
		case <-time.After(maxDrainTime):
			// It waits until the store acknowledges that it leaves.
		}
	}
	<-m.signal(syscall.SIGKILL).exited
}

// run releases a service's generations one after another, until the given time, and returns how many. Beside the first one, and most others, entries
// are cut off from shortly before the first new engine registers.
func (rel *rollout) run(s *site, random *rand.Rand, end time.Time) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	releases := 0
	time.Sleep(time.Second + time.Duration(random.Int64N(int64(maxFirstRelease-time.Second))))
	for i := 1; i < len(rel.generations) && time.Now().Before(end); i++ {
		releases++
		if c := s.drawCut(random); random.IntN(5) > 0 || i == 1 {
			wg.Go(func() { s.cutOff(c) })
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		}
		for j, m := range rel.generations[i].engines {
			s.startServing(m)
			time.Sleep(time.Duration(1000+random.IntN(3000)) * time.Millisecond)
			old, kill := rel.generations[i-1].engines[j], random.IntN(3) == 0
			wg.Go(func() { s.retire(old, kill) })
		}
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
	}
	return releases
}

const (
	// Longest times between the starts of two faults of a kind, chosen so that parts are undisturbed for long enough to be judged.
	maxBreakInterval      = 300 * time.Millisecond
	maxEntryKillInterval  = 8 * time.Second
	maxStoreFaultInterval = 8 * time.Second
	maxFreezeInterval     = 6 * time.Second
	// maxFreezeTime is the longest time for which entries are frozen: lists that they have read before are old then.
	maxFreezeTime = 5 * time.Second
	// maxEntryDowntime is the longest time that a killed entry is away.
	maxEntryDowntime = 500 * time.Millisecond
)

// injectReleases runs all releases and faults of a seed until the given time, waits until all are restored, and returns how many of each.
func (s *site) injectReleases(seed uint64, o *operator, rollouts []*rollout, end time.Time) (faults, releases int) {
	var wg sync.WaitGroup
	released, injected := make([]int, len(rollouts)), make([]int, 4)
	for i, rel := range rollouts {
		wg.Go(func() { released[i] = rel.run(s, rand.New(rand.NewPCG(seed, 1<<41+uint64(i))), end) })
	}
	wg.Go(func() {
		injected[0] = s.injectFaults(rand.New(rand.NewPCG(seed, 1<<32)), maxBreakInterval, end, s.breakFault)
	})
	wg.Go(func() {
		injected[1] = s.injectFaults(rand.New(rand.NewPCG(seed, 1<<33)), maxEntryKillInterval, end, s.entriesFault)
	})
	wg.Go(func() {
		injected[2] = s.injectFaults(rand.New(rand.NewPCG(seed, 1<<34)), maxStoreFaultInterval, end, func(random *rand.Rand) fault {
			if random.IntN(3) == 0 {
				return s.restoreFault(random, o)
			}
			return s.storeFault(random)
		})
	})
	wg.Go(func() {
		injected[3] = s.injectFaults(rand.New(rand.NewPCG(seed, 1<<35)), maxFreezeInterval, end, s.freezeFault)
	})
	wg.Wait()
	for _, n := range injected {
		faults += n
	}
	for _, n := range released {
		releases += n
	}
	return faults, releases
}

// breakFault returns a fault that breaks streams off, or cuts entries off.
func (s *site) breakFault(random *rand.Rand) fault {
	s.mu.Lock()
	engine := pick(random, s.serving)
	s.mu.Unlock()
	entry := pick(random, s.entries)
	switch random.IntN(8) {
	case 0, 1, 2:
		return fault{kind: "reset", part: entry.name + " callers", do: entry.proxies["callers"].Reset}
	case 3:
		return s.linkFault(random, entry, "callers")
	case 4:
		return fault{kind: "reset", part: engine.name + " endpoint", do: engine.proxies["endpoint"].Reset}
	case 5:
		return s.linkFault(random, engine, "endpoint")
	case 6:
		downtime := randomDuration(random, time.Second)
		return fault{kind: "kill", part: engine.name, do: func() {
			<-engine.signal(syscall.SIGKILL).exited
			time.Sleep(downtime)
			s.start(engine)
		}}
	default:
		c := s.drawCut(random)
		return fault{kind: "cut", part: "cut", do: func() { s.cutOff(c) }}
	}
}

// entriesFault returns a fault that kills the leader, some entries or all of them.
func (s *site) entriesFault(random *rand.Rand) fault {
	downtime, order := randomDuration(random, maxEntryDowntime), random.Perm(len(s.entries))
	list := make([]*node, 0, len(s.entries))
	switch random.IntN(4) {
	case 0:
		list = append(list, s.entries...)
	case 1:
		for _, i := range order[:1+random.IntN(4)] {
			list = append(list, s.entries[i])
		}
	default:
		list = append(list, s.leader())
	}
	return fault{kind: "kills", part: "entries", do: func() {
		s.disturbAll("kill", names(list), func() {
			for _, m := range list {
				<-m.signal(syscall.SIGKILL).exited
			}
			time.Sleep(downtime)
			for _, m := range list {
				s.start(m)
			}
		})
	}}
}

// freezeFault returns a fault that freezes some entries.
func (s *site) freezeFault(random *rand.Rand) fault {
	duration, list := randomDuration(random, maxFreezeTime), make([]*node, 0, len(s.entries))
	for _, i := range random.Perm(len(s.entries))[:1+random.IntN(4)] {
		list = append(list, s.entries[i])
	}
	return fault{kind: "freezes", part: "frozen", do: func() {
		s.disturbAll("freeze", names(list), func() {
			for _, m := range list {
				m.signal(syscall.SIGSTOP)
			}
			time.Sleep(duration)
			for _, m := range list {
				m.signal(syscall.SIGCONT)
			}
		})
	}}
}

func names(list []*node) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.name)
	}
	return names
}
