//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["software"] = runSoftware }

// streamer is a replica of a plain service that answers with streams.
type streamer struct {
	id, zone, address string
	site              *site

	mu       sync.Mutex
	software string
	born     int64
	down     bool
	server   *http.Server
}

func (s *site) startStreamer(id, zone, software string) *streamer {
	r := &streamer{id: id, zone: zone, address: freeAddress(), site: s, software: software, born: time.Now().UnixMilli()}
	r.listen()
	go func() {
		for {
			r.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return r
}

func (r *streamer) register() {
	r.mu.Lock()
	body := map[string]any{
		"Backend": "agenda", "Address": r.address, "Zone": r.zone, "Version": r.software, "Capacity": 64, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": r.born,
	}
	down := r.down
	r.mu.Unlock()
	if !down {
		_ = r.site.store.Put("servers/"+r.id, body)
	}
}

func (r *streamer) listen() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("replica: %v", err)
	}
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (r *streamer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	software := r.software
	r.mu.Unlock()
	w.Header().Set("Instance-Id", r.id)
	id := req.Header.Get("Request-Id")
	if id == "" {
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.site.record.printf("%s (%s) runs %s after event %d", r.id, software, id, last)
	w.Header().Set("Response-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= 60; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, software); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// crash ends the replica's process, which is back after some time with other software.
func (r *streamer) crash(downTime time.Duration, software string) {
	r.mu.Lock()
	r.down = true
	server := r.server
	r.mu.Unlock()
	r.site.record.printf("%s crashes", r.id)
	_ = server.Close()
	time.Sleep(downTime)
	r.mu.Lock()
	r.down, r.born, r.software = false, time.Now().UnixMilli(), software
	r.mu.Unlock()
	r.listen()
	r.register()
	r.site.record.printf("%s is back and registered with %s", r.id, software)
}

// runSoftware has a replica crash that is back with other software, while clients take up the streams that it had begun.
func runSoftware(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "feed", Hostname: "shop.example", PathPrefix: "/feed/", Type: "streaming", Backend: "agenda", TimeoutMs: 15000, TargetLatencyMs: 400,
			GapAimMs: 400, MaxAttempts: 2, Public: true, Resumable: true,
		}},
		Services: []map[string]any{hosted.PlainService("agenda")},
	})
	first := s.startStreamer("p-1", "rennes", "v1")
	s.startStreamer("p-2", "brest", "v2")
	s.startStreamer("p-3", "vannes", "v2")
	s.startStreamer("p-4", "rennes", "v2")
	for i, zone := range []string{"rennes", "brest", "vannes"} {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zone, s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	joined, streams := 0, 0
	var wg sync.WaitGroup
	for i := range 24 {
		e := s.entries[i%3]
		wg.Go(func() {
			seen, last, origin := "", 0, ""
			until := time.Now().Add(14 * time.Second)
			for try := 0; time.Now().Before(until) && last < 60; try++ {
				id := fmt.Sprintf("%s.%d-%d", e.name, i, try)
				before := last
				pieces, pause := s.feed(e, id, origin, &last)
				if origin == "" && last > 0 {
					origin = id
				}
				for _, p := range pieces {
					if !strings.Contains(seen, p) {
						seen += p
					}
				}
				if last == before {
					// Clients honour Retry-After, up to a third of the time that they have left.
					time.Sleep(max(100*time.Millisecond, min(pause, time.Until(until)/3)))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			streams++
			if len(seen) > 2 {
				joined++
			}
			s.record.printf("stream %d has events of %s, up to %d", i, seen, last)
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		first.crash(2*time.Second, "v2")
	}
	wg.Wait()
	s.record.printf("%d of %d streams have events of two software versions, allowed are 2", joined, streams)
	fmt.Printf("%d of %d streams have events of two software versions, allowed are 2\n", joined, streams)
	if joined > 2 {
		return broken
	}
	return held
}

// feed begins or takes up a stream, and returns the software versions whose events have come, and when to try again if it was refused.
func (s *site) feed(e *entry, id, origin string, last *int) (versions []string, pause time.Duration) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+e.callers+"/feed/", strings.NewReader("{}"))
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	if origin != "" {
		req.Header.Set("Resumes", origin)
		req.Header.Set("Last-Event-Id", strconv.Itoa(*last))
	}
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.record.printf("client got no answer to %s", id)
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	s.record.printf("client got %d to %s (takes up %q after %d) from %q, Retry-After %q", resp.StatusCode, id, origin, *last,
		resp.Header.Get("Instance-Id"), resp.Header.Get("Retry-After"))
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return nil, time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			*last, _ = strconv.Atoi(n)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok && (len(versions) == 0 || versions[len(versions)-1] != v) {
			versions = append(versions, v)
		}
	}
	s.record.printf("%s ended after event %d, versions %v", id, *last, versions)
	return versions, 0
}
