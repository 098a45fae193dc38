//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["poison"] = runPoison }

const (
	poisonEntries  = 12
	poisonReplicas = 8
	// poisonLoad is how many sound requests a second each entry's clients send.
	poisonLoad = 3
	poisonPath = "/stock/crash"
	// poisonPeriod is how often a client sends the request that crashes replicas, at any machine.
	poisonPeriod = 300 * time.Millisecond
	// slowStart is how long a machine runs before a balancer sends it its share.
	slowStart = 4 * time.Second
	// rollGap is the time from one machine's SIGTERM to the next one's.
	rollGap = 5 * time.Second
	// poisonTime is how long the traffic goes on.
	poisonTime = 75 * time.Second
)

// runPoison sends a request again and again that crashes the replicas that run it, and restarts the machines one after the other.
func runPoison(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "stock", Hostname: "shop.example", PathPrefix: "/stock/", Type: "idempotent", Backend: "counter", TimeoutMs: 1500, TargetLatencyMs: 150,
			Priority: 2, MaxAttempts: 2,
		}},
		Services: []map[string]any{hosted.PlainService("counter")},
	})
	zones := []string{"rennes", "brest", "vannes"}
	var replicas []*replica
	for i := range poisonReplicas {
		r := s.startReplica(fmt.Sprintf("i-%d", i), "counter", zones[i%3], 6, 30*time.Millisecond)
		r.mu.Lock()
		r.crashesOn = poisonPath
		r.mu.Unlock()
		replicas = append(replicas, r)
	}
	for i := range poisonEntries {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zones[i%3], s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	end := time.Now().Add(poisonTime)
	for i, e := range s.entries {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / poisonLoad / poisonEntries)
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				s.get(client, e, fmt.Sprintf("%s.%d", e.name, n), fmt.Sprintf("/stock/%d", n))
				time.Sleep(time.Second / poisonLoad)
			}
		})
	}
	// Two clients send it first, at the same time. Later it comes at any machine that has run for a while, as balancers with a slow start send.
	up := &uptimes{since: make(map[string]time.Time)}
	for i := range 2 {
		wg.Go(func() { s.get(newClient(), s.entries[i], fmt.Sprintf("%s.crash-first", s.entries[i].name), poisonPath) })
	}
	wg.Go(func() {
		client := newClient()
		draw := rand.New(rand.NewPCG(63, 2))
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(poisonPeriod)
			e := s.entries[draw.IntN(len(s.entries))]
			if !up.longEnough(e.name) {
				continue
			}
			s.get(client, e, fmt.Sprintf("%s.crash%d", e.name, n), poisonPath)
		}
	})
	time.Sleep(4 * time.Second)
	// disrupted holds, for each entry, from when to when it isn't in touch.
	disrupted := make(map[string][2]time.Time)
	if trouble {
		for _, e := range s.entries {
			began := time.Now()
			up.set(e.name, began.Add(time.Hour))
			s.record.printf("%s gets SIGTERM", e.name)
			e.signal(syscall.SIGTERM)
			select {
			case <-e.ended:
			case <-time.After(8 * time.Second):
				// GraceS is over.
				e.signal(syscall.SIGKILL)
				<-e.ended
			}
			s.record.printf("%s has ended", e.name)
			s.startEntry(e)
			up.set(e.name, time.Now())
			disrupted[e.name] = [2]time.Time{began, time.Now().Add(contact)}
			time.Sleep(time.Until(began.Add(rollGap)))
		}
	}
	wg.Wait()
	return judgePoison(s, replicas, disrupted)
}

// uptimes holds since when machines run that have been restarted.
type uptimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (u *uptimes) set(name string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.since[name] = at
}

// longEnough reports whether a machine gets its share of the traffic.
func (u *uptimes) longEnough(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, restarted := u.since[name]
	return !restarted || time.Since(at) > slowStart
}

// judgePoison counts the retries of the request that reach replicas, sent by machines in touch later than ContactMs after it has crashed the third.
// Only what this system sends once more is taken for a retry; a client's own is a new request.
func judgePoison(s *site, replicas []*replica, disrupted map[string][2]time.Time) int {
	var arrivals []arrival
	for _, r := range replicas {
		r.mu.Lock()
		arrivals = append(arrivals, r.crashes...)
		r.mu.Unlock()
	}
	sortArrivals(arrivals)
	if len(arrivals) < 2 {
		fail("the request has crashed %d replicas", len(arrivals))
	}
	retries, first, seen := 0, 0, make(map[string]bool)
	for i, a := range arrivals {
		again := seen[a.id]
		seen[a.id] = true
		from := entryOf(a.id)
		out, ok := disrupted[from]
		inTouch := !ok || a.at.Before(out[0]) || a.at.After(out[1])
		counts := i > 2 && inTouch && a.at.After(arrivals[2].at.Add(contact))
		s.record.printf("crash %d: %s at %s, at %.3f s, retry %v, counts %v", i+1, a.id, a.replica, a.at.Sub(s.record.start).Seconds(), again, counts)
		switch {
		case counts && again:
			retries++
		case counts:
			first++
		}
	}
	s.record.printf("%d crashes; later than ContactMs after the third, machines in touch sent %d retries and %d first attempts; allowed are 3 retries",
		len(arrivals), retries, first)
	fmt.Printf("%d crashes, %d retries and %d first attempts that count, allowed are 3 retries\n", len(arrivals), retries, first)
	if retries > 3 {
		return broken
	}
	return held
}
