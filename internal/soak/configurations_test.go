package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/proxy"
)

const (
	// maxApplyDelay is the default bound of entries within which a configuration must be in force.
	maxApplyDelay = 3 * time.Second
	// thinBytesPerSecond is a link of 10 Mbit/s. Entries have one to their peers and one to the store.
	thinBytesPerSecond = 10_000_000 / 8
	// maxRoutes is the largest number of routes of a configuration: a read of the store takes half a second of its link.
	maxRoutes = 2500
	// maxChangeInterval is the longest time between two changes: mostly, one follows before another is in force.
	maxChangeInterval = 2 * time.Second
)

// change is a configuration that the operator has written.
type change struct {
	// added is the path of a route that it has, and removed of one that no longer has one, or empty.
	added, removed string
	acknowledged   time.Time
}

// configurationSeries changes the configuration of a site at random: many routes at once, or one among many.
type configurationSeries struct {
	*operator
	random  *rand.Rand
	numbers int
	changes []change
}

// next writes a configuration.
func (c *configurationSeries) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added change
	fixed := len(c.routes) - c.extra()
	switch n := c.extra(); {
	case n < 500 || c.random.IntN(4) == 0:
		c.routes = c.routes[:fixed:fixed]
		for range 1000 + c.random.IntN(maxRoutes-1000) {
			c.addRoute()
		}
	default:
		i := fixed + c.random.IntN(n)
		added.removed = c.routes[i].PathPrefix
		c.routes = append(c.routes[:i:i], c.routes[i+1:]...)
		c.addRoute()
	}
	added.added = c.routes[len(c.routes)-1].PathPrefix
	c.publish()
	added.acknowledged = time.Now()
	c.changes = append(c.changes, added)
}

// extra returns the number of routes that the series has added.
func (c *configurationSeries) extra() int {
	n := 0
	for i := range c.routes {
		if strings.HasPrefix(c.routes[i].Name, "r-") {
			n++
		}
	}
	return n
}

func (c *configurationSeries) addRoute() {
	c.numbers++
	r := newRoute(fmt.Sprintf("/%06x/", c.numbers*7919), "idempotent", "calendar", 2, false)
	r.Name = fmt.Sprintf("r-%d", c.numbers)
	c.routes = append(c.routes, r)
}

// expectInForce checks, at each entry that wasn't disturbed since before a change, that the change is in force.
func (s *site) expectInForce(c *configurationSeries, changed change) {
	time.Sleep(time.Until(changed.acknowledged.Add(maxApplyDelay)))
	for _, m := range s.entries {
		sent := time.Now()
		status := map[string]int{changed.added: s.probe(c.operator, m, changed.added)}
		if changed.removed != "" {
			status[changed.removed] = s.probe(c.operator, m, changed.removed)
		}
		if !s.undisturbed(changed.acknowledged.Add(-maxApplyDelay), time.Now(), m.name, "store", machine) {
			continue
		}
		if got := status[changed.added]; got == http.StatusNotFound && c.isRoute(changed.added) {
			s.breach("%s doesn't have a route %v after its acknowledgement", m.name, sent.Sub(changed.acknowledged).Round(time.Millisecond))
		}
		if got, ok := status[changed.removed]; ok && got == http.StatusOK {
			s.breach("%s serves a removed route %v after its acknowledgement", m.name, sent.Sub(changed.acknowledged).Round(time.Millisecond))
		}
	}
}

// isRoute reports whether the newest configuration has a route.
func (c *configurationSeries) isRoute(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.routes {
		if c.routes[i].PathPrefix == path {
			return true
		}
	}
	return false
}

// probe sends a request through an entry, and returns the status of its answer, or zero.
func (s *site) probe(o *operator, m *node, path string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+m.callers+path, strings.NewReader("probe"))
	if err != nil {
		return 0
	}
	o.mu.Lock()
	key := o.keys[workspaceNames[0]]
	o.mu.Unlock()
	r.Host = hosted.SiteHostname
	r.Header.Set("Request-Id", fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	r.Header.Set("Credential", key)
	r.Header.Set("Deadline-Ms", "2000")
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// killEntries kills entries and starts them again, relays among them, until the given time.
func (s *site) killEntries(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(randomDuration(random, 4*time.Second))
		m := pick(random, s.entries)
		s.disturb("kill", m.name, func() {
			<-m.signal(syscall.SIGKILL).exited
			time.Sleep(randomDuration(random, time.Second))
			s.start(m)
			deadline := time.Now().Add(readyTimeout)
			for !m.ready() && time.Now().Before(deadline) {
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// defaultConfigurationSeed kills entries.
const defaultConfigurationSeed = 2

// TestConfigurations has the operator send large configurations in series to entries behind thin links, while entries are killed if the seed is even;
// SOAK_SEED and SOAK_SECONDS set the random seed and the duration.
func TestConfigurations(t *testing.T) {
	runConfigurations(t, envUint("SOAK_SEED", defaultConfigurationSeed), time.Duration(envUint("SOAK_SECONDS", defaultSeconds))*time.Second)
}

func runConfigurations(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	s := newSite(t)
	for _, m := range s.entries {
		m.proxies["peers"].SetFault(proxy.Fault{BytesPerSecond: thinBytesPerSecond})
		m.proxies["store"].SetFault(proxy.Fault{BytesPerSecond: thinBytesPerSecond})
	}
	o := newOperator(s, []hosted.Route{newRoute(readPath, "idempotent", "calendar", 3, false)}, []map[string]any{hosted.PlainService("calendar")})
	s.waitReady(time.Now().Add(readyTimeout))
	done := make(chan struct{})
	defer close(done)
	go s.detectStalls(done)
	random := rand.New(rand.NewPCG(seed, 1<<37))
	c := &configurationSeries{operator: o, random: random}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	if seed%2 == 0 {
		wg.Go(func() { s.killEntries(rand.New(rand.NewPCG(seed, 1<<38)), end) })
	}
	for time.Now().Before(end) {
		c.next()
		changed := c.changes[len(c.changes)-1]
		wg.Go(func() { s.expectInForce(c, changed) })
		time.Sleep(randomDuration(random, maxChangeInterval))
	}
	wg.Wait()
	s.waitReady(time.Now().Add(readyTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("SOAK     configurations, seed %d: %d changes, machine stalled %v; %d breaches\n", seed, len(c.changes),
		s.stalled().Round(time.Millisecond), len(s.breaches))
	s.reportBreaches(fmt.Sprintf("gypsum-configurations-%d", seed))
}
