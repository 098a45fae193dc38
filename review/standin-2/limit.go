//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["limit"] = runLimit }

const (
	limitEntries  = 12
	limitReplicas = 3
	limitPerS     = 24.0
	// limitLoad is how many requests a second each entry's clients send.
	limitLoad = 30
)

// passed is an answer that a machine has passed on to a client, and the limit that it named.
type passed struct {
	at      time.Time
	entry   string
	replica string
	limited bool
}

// runLimit has replicas name Server-Limit, sends more than they take, and kills the machine that leads.
func runLimit(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "stock", Hostname: "shop.example", PathPrefix: "/stock/", Type: "idempotent", Backend: "counter", TimeoutMs: 800, TargetLatencyMs: 150,
			Priority: 2, MaxAttempts: 2,
		}},
		Services: []map[string]any{hosted.PlainService("counter")},
	})
	zones := []string{"rennes", "brest", "vannes"}
	var replicas []*replica
	for i := range limitReplicas {
		replicas = append(replicas, s.startReplica(fmt.Sprintf("i-%d", i), "counter", zones[i], 6, 30*time.Millisecond))
	}
	for i := range limitEntries {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zones[i%3], s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var answers []passed
	var wg sync.WaitGroup
	end := time.Now().Add(22 * time.Second)
	for _, e := range s.entries {
		wg.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				wg.Go(func() {
					id := fmt.Sprintf("%s.%d", e.name, n)
					req, _ := http.NewRequest(http.MethodGet, "http://"+e.callers+fmt.Sprintf("/stock/%d", n), nil)
					req.Host = "shop.example"
					req.Header.Set("Request-Id", id)
					req.Header.Set("Deadline-Ms", "1500")
					s.record.printf("client sends %s", id)
					resp, err := client.Do(req)
					if err != nil {
						s.record.printf("client got no answer to %s", id)
						return
					}
					_, _ = drainBody(resp.Body)
					_ = resp.Body.Close()
					s.record.printf("client got %d to %s from %q, limit %q", resp.StatusCode, id, resp.Header.Get("Instance-Id"), resp.Header.Get("Server-Limit"))
					if from := resp.Header.Get("Instance-Id"); from != "" && resp.Header.Get("Response-Seal") != "" {
						mu.Lock()
						answers = append(answers, passed{time.Now(), e.name, from, resp.Header.Get("Server-Limit") != ""})
						mu.Unlock()
					}
				})
				time.Sleep(time.Second / limitLoad)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, r := range replicas {
		r.mu.Lock()
		r.limit = limitPerS
		r.mu.Unlock()
	}
	s.record.printf("the replicas name Server-Limit: %v from now on", limitPerS)
	time.Sleep(10 * time.Second)
	excused := ""
	if trouble {
		leader := s.leader()
		if leader == nil {
			fail("no leader")
		}
		leader.signal(syscall.SIGKILL)
		excused = leader.name
		s.record.printf("%s is killed", leader.name)
	}
	wg.Wait()
	return judgeLimit(s, replicas, answers, excused)
}

// judgeLimit counts, for each replica and any 4 s, the requests from machines that had passed on an answer with its limit half a second before or
// earlier, except for the machine that was killed.
func judgeLimit(s *site, replicas []*replica, answers []passed, excused string) int {
	result := held
	const span = 4 * time.Second
	bound := 1.5*limitPerS*span.Seconds() + 5
	for _, r := range replicas {
		first := make(map[string]time.Time)
		var firstNamed time.Time
		for _, a := range answers {
			if a.replica != r.id || !a.limited {
				continue
			}
			if at, ok := first[a.entry]; !ok || a.at.Before(at) {
				first[a.entry] = a.at
			}
			if firstNamed.IsZero() || a.at.Before(firstNamed) {
				firstNamed = a.at
			}
		}
		if firstNamed.IsZero() {
			fail("%s has named no limit", r.id)
		}
		var counted []time.Time
		r.mu.Lock()
		arrivals := append([]arrival(nil), r.arrivals...)
		r.mu.Unlock()
		for _, a := range arrivals {
			from := entryOf(a.id)
			since, ok := first[from]
			if from == excused || !ok || a.at.Before(since.Add(500*time.Millisecond)) || a.at.Before(firstNamed.Add(contact)) {
				continue
			}
			counted = append(counted, a.at)
		}
		most, begin, i := 0, time.Time{}, 0
		for j := range counted {
			for counted[j].Sub(counted[i]) > span {
				i++
			}
			if j-i+1 > most {
				most, begin = j-i+1, counted[i]
			}
		}
		s.record.printf("%s: at most %d requests in 4 s (from %.3f s on), allowed are %.0f", r.id, most, begin.Sub(s.record.start).Seconds(), bound)
		fmt.Printf("%s: at most %d requests in 4 s, allowed are %.0f\n", r.id, most, bound)
		if float64(most) > bound {
			result = broken
		}
	}
	return result
}
