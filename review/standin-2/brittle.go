//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["brittle"] = runBrittle }

const (
	brittleEntries  = 12
	brittleReplicas = 6
	brittleN        = 3
	brittleLoad     = 16
)

// runBrittle has the replicas of a service say that they are brittle while more is asked for than they take, and kills the machine that leads.
func runBrittle(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "stock", Hostname: "shop.example", PathPrefix: "/stock/", Type: "idempotent", Backend: "counter", TimeoutMs: 1500, TargetLatencyMs: 400,
			Priority: 2, MaxAttempts: 2,
		}},
		Services: []map[string]any{hosted.PlainService("counter")},
	})
	zones := []string{"rennes", "brest", "vannes"}
	var replicas []*replica
	for i := range brittleReplicas {
		replicas = append(replicas, s.startReplica(fmt.Sprintf("i-%d", i), "counter", zones[i%3], 6, 300*time.Millisecond))
	}
	for i := range brittleEntries {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zones[i%3], s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for i, e := range s.entries {
		wg.Go(func() {
			// The machines' callers aren't in step.
			time.Sleep(time.Duration(i) * time.Second / brittleLoad / brittleEntries)
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				wg.Go(func() {
					id := fmt.Sprintf("%s.%d", e.name, n)
					s.get(client, e, id, fmt.Sprintf("/stock/%d", n))
				})
				time.Sleep(time.Second / brittleLoad)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, r := range replicas {
		r.mu.Lock()
		r.brittle, r.brittleSince = brittleN, time.Now()
		r.mu.Unlock()
	}
	s.record.printf("the replicas name Server-Brittle: %d from now on", brittleN)
	time.Sleep(8 * time.Second)
	if trouble {
		leader := s.leader()
		if leader == nil {
			fail("no leader")
		}
		s.excuse(leader)
		leader.signal(syscall.SIGKILL)
		s.record.printf("%s is killed", leader.name)
	}
	wg.Wait()
	falls := 0
	for _, r := range replicas {
		r.mu.Lock()
		falls += len(r.falls)
		r.mu.Unlock()
	}
	allowed := 2 + float64(brittleReplicas)/10
	s.record.printf("%d falls, allowed are %.1f", falls, allowed)
	fmt.Printf("%d falls, allowed are %.1f\n", falls, allowed)
	if float64(falls) > allowed {
		return broken
	}
	return held
}
