//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["unframed"] = runUnframed }

const (
	// reportParts is the number of parts of an answer, and reportPause the pause between two.
	reportParts = 8
	reportPause = 250 * time.Millisecond
)

// reporter is a replica whose answers have neither a length nor chunks.
type reporter struct {
	id, zone, address string
	site              *site

	mu       sync.Mutex
	born     int64
	down     bool
	listener net.Listener
	open     map[net.Conn]bool
}

func (s *site) startReporter(id, zone string) *reporter {
	r := &reporter{id: id, zone: zone, address: freeAddress(), site: s, born: time.Now().UnixMilli(), open: make(map[net.Conn]bool)}
	r.listen()
	go func() {
		for {
			r.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return r
}

func (r *reporter) register() {
	r.mu.Lock()
	body := map[string]any{
		"Backend": "reports", "Address": r.address, "Zone": r.zone, "Version": "v1", "Capacity": 64, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": r.born,
	}
	down := r.down
	r.mu.Unlock()
	if !down {
		_ = r.site.store.Put("servers/"+r.id, body)
	}
}

func (r *reporter) listen() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("replica: %v", err)
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go func() { _ = http.Serve(l, r) }()
}

func answerOf(id string) string {
	var b strings.Builder
	for n := range reportParts {
		fmt.Fprintf(&b, "part %d of %d of %s\n", n+1, reportParts, id)
	}
	return b.String()
}

func (r *reporter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	r.mu.Lock()
	r.open[c] = true
	r.mu.Unlock()
	r.site.record.printf("%s runs %s", r.id, id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nResponse-Seal: seal.%s\r\nConnection: close\r\n\r\n", id, r.id, id)
	for _, line := range strings.SplitAfter(answerOf(id), "\n") {
		if _, err := c.Write([]byte(line)); err != nil {
			break
		}
		time.Sleep(reportPause)
	}
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
	_ = c.Close()
}

// crash ends the replica's process, which is back after some time.
func (r *reporter) crash(downTime time.Duration) {
	r.mu.Lock()
	r.down = true
	_ = r.listener.Close()
	for c := range r.open {
		_ = c.Close()
	}
	r.site.record.printf("%s crashes with %d answers", r.id, len(r.open))
	r.mu.Unlock()
	time.Sleep(downTime)
	r.mu.Lock()
	r.down, r.born = false, time.Now().UnixMilli()
	r.mu.Unlock()
	r.listen()
	r.register()
	r.site.record.printf("%s is back", r.id)
}

// runUnframed has an entry freeze, and a replica crash meanwhile that is back before the entry goes on.
func runUnframed(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "reports", Hostname: "shop.example", PathPrefix: "/reports/", Type: "idempotent", Backend: "reports", TimeoutMs: 12000, TargetLatencyMs: 4000,
			MaxAttempts: 2, Public: true,
		}},
		Services: []map[string]any{hosted.PlainService("reports")},
	})
	replicas := []*reporter{s.startReporter("r-1", "rennes"), s.startReporter("r-2", "brest"), s.startReporter("r-3", "vannes"), s.startReporter("r-4", "rennes")}
	for i, zone := range []string{"rennes", "brest", "vannes"} {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zone, s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	short, whole, other := 0, 0, 0
	var wg sync.WaitGroup
	for i := range 36 {
		e := s.entries[i%3]
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			id := fmt.Sprintf("%s.%d", e.name, i)
			req, _ := http.NewRequest(http.MethodGet, "http://"+e.callers+"/reports/"+id, nil)
			req.Host = "shop.example"
			req.Header.Set("Request-Id", id)
			req.Header.Set("Deadline-Ms", "12000")
			s.record.printf("client sends %s", id)
			client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(req)
			if err != nil {
				s.record.printf("client got no answer to %s", id)
				return
			}
			body, err := drainBody(resp.Body)
			_ = resp.Body.Close()
			s.record.printf("client got %d to %s, complete %v, seal %q, %d bytes of %d", resp.StatusCode, id, err == nil, resp.Header.Get("Response-Seal"),
				len(body), len(answerOf(id)))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode != http.StatusOK || err != nil:
				other++
			case body == answerOf(id):
				whole++
			default:
				short++
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		frozen := s.entries[0]
		frozen.signal(syscall.SIGSTOP)
		s.record.printf("%s is frozen", frozen.name)
		time.Sleep(200 * time.Millisecond)
		wg.Go(func() { replicas[0].crash(2 * time.Second) })
		time.Sleep(2800 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
		s.record.printf("%s goes on", frozen.name)
	}
	wg.Wait()
	s.record.printf("%d answers were whole, %d successes had a part only and looked complete, %d others", whole, short, other)
	fmt.Printf("%d answers were whole, %d successes had a part only and looked complete, %d others\n", whole, short, other)
	if short > 0 {
		return broken
	}
	return held
}
