//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	slowBodyHost = "review.example"
	slowBodyKey  = "key-of-tenant-a"
	// bodyPause is how long a client takes between the two parts of its body.
	bodyPause = 1500 * time.Millisecond
	// applyTime is ConfigApplyMs with a margin.
	applyTime = 3 * time.Second
	uploads   = 6
	// ordinaryPause is the pause between two ordinary requests of a client.
	ordinaryPause = 120 * time.Millisecond
)

func slowBodyConfiguration(version int, withUploads bool) hosted.Configuration {
	route := func(name, prefix, kind string, attempts int) hosted.Route {
		return hosted.Route{
			Name: name, Hostname: slowBodyHost, PathPrefix: prefix, Type: kind, Backend: "comptoir", TimeoutMs: 8000, TargetLatencyMs: 150,
			Priority: 2, MaxAttempts: attempts,
		}
	}
	c := hosted.Configuration{
		Version:  version,
		Routes:   []hosted.Route{route("r-debit", "/debit/", "non_idempotent", 1), route("r-read", "/read/", "idempotent", 2)},
		Services: []map[string]any{hosted.PlainService("comptoir")},
		Limits:   hosted.DefaultLimits(),
		Tenants:  []hosted.Tenant{{Name: "tenant-a", APIKeys: []string{slowBodyKey}}},
	}
	if withUploads {
		c.Routes = append(c.Routes, route("r-notes", "/notes/", "non_idempotent", 1))
	}
	return c
}

// runSlowBody has the operator remove a route while clients use it that take some time to send their bodies, and checks that replicas run only
// requests that a client sent (rule UNASKED).
func runSlowBody(args []string) (bool, error) {
	r, err := newRig(args[0], slowBodyConfiguration(1, true))
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.start(id, "target/review/standin", "replica", "--listen", freeAddress(), "--id", id, "--service", "comptoir",
			"--zone", zone, "--store", r.storeAddr, "--size", "800"); err != nil {
			return false, err
		}
	}
	if err := r.startEntries(zones...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	sent := &sentRequests{ids: make(map[string]bool)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range r.entries {
		for c := range clientsPerEntry {
			clients.Go(func() { ordinaryClient(r, e, fmt.Sprintf("%s-c%d", e.name, c), sent, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	if disrupts() {
		if err := r.put("op/config", slowBodyConfiguration(2, false)); err != nil {
			return false, err
		}
		r.record.printf("the operator has written version 2, without the route /notes/")
	}
	time.Sleep(applyTime)
	var slow sync.WaitGroup
	for _, e := range r.entries {
		slow.Go(func() {
			for n := range uploads {
				upload(r, e, fmt.Sprintf("%s-u%d", e.name, n), sent)
			}
		})
	}
	slow.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return r.checkRuns(len(zones), sent)
}

// sentRequests holds the identifiers of the requests that clients sent.
type sentRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *sentRequests) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

var runLine = regexp.MustCompile(`(?m)^(\d+) (\S+) runs (\S+)$`)

// checkRuns reports whether a replica ran a request that no client sent, and copies what the replicas ran to the record.
func (r *rig) checkRuns(replicaCount int, sent *sentRequests) (bool, error) {
	runs, unasked := 0, 0
	for i := range replicaCount {
		text, err := os.ReadFile(filepath.Join(r.work, fmt.Sprintf("i-%d.log", i)))
		if err != nil {
			return false, err
		}
		for _, match := range runLine.FindAllStringSubmatch(string(text), -1) {
			runs++
			note := ""
			if !sent.ids[match[3]] {
				unasked++
				note = ": UNASKED, no client sent it"
			}
			r.record.printf("run: replica %s ran %s at Unix ms %s%s", match[2], match[3], match[1], note)
		}
	}
	r.record.printf("sent %d, run %d, UNASKED %d", len(sent.ids), runs, unasked)
	fmt.Printf("sent %d, run %d, UNASKED %d\n", len(sent.ids), runs, unasked)
	if runs == 0 {
		return false, fmt.Errorf("nothing was run")
	}
	return unasked > 0, nil
}

// ordinaryClient sends one request after the other on kept connections.
func ordinaryClient(r *rig, e *entry, name string, sent *sentRequests, stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryPause):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/read/"+id, nil)
		if err != nil {
			r.record.printf("failed %s: %v", id, err)
			continue
		}
		req.Host = slowBodyHost
		req.Header.Set("Request-Id", id)
		req.Header.Set("Credential", slowBodyKey)
		req.Header.Set("Deadline-Ms", "5000")
		sent.add(id)
		resp, err := client.Do(req)
		if err != nil {
			r.record.printf("failed %s: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		r.record.printf("answered %s with %d", id, resp.StatusCode)
	}
}

// upload posts a note on a connection that it keeps. The note quotes a request to another route, and the client takes bodyPause before it sends
// that part. Then it sends another request on the connection.
func upload(r *rig, e *entry, id string, sent *sentRequests) {
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		r.record.printf("failed %s: %v", id, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	answers := bufio.NewReader(conn)
	head := func(method, path, id string, length int) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n",
			method, path, slowBodyHost, id, slowBodyKey, length)
	}
	first := "The customer reports that the program sent this to us twice:\r\n"
	quoted := head(http.MethodPost, "/debit/quoted", "quoted-in-"+id, 0)
	text := head(http.MethodPost, "/notes/"+id, id, len(first)+len(quoted)) + first
	sent.add(id)
	if _, err := io.WriteString(conn, text); err != nil {
		r.record.printf("failed %s: %v", id, err)
		return
	}
	r.record.printf("sent %s to %s: head and %d of %d bytes of the body", id, e.name, len(first), len(first)+len(quoted))
	answered := make(chan string, 1)
	go func() { answered <- readAnswer(answers) }()
	time.Sleep(bodyPause)
	_, err = io.WriteString(conn, quoted)
	r.record.printf("sent the rest of the body of %s (error: %v)", id, err)
	r.record.printf("answered %s: %s", id, <-answered)
	time.Sleep(300 * time.Millisecond)
	next := id + "-next"
	sent.add(next)
	_, err = io.WriteString(conn, strings.Replace(head(http.MethodGet, "/read/"+next, next, 0), "Content-Length: 0\r\n", "", 1))
	r.record.printf("sent %s on the same connection (error: %v)", next, err)
	r.record.printf("answered %s: %s", next, readAnswer(answers))
}

// readAnswer reads an answer and describes it.
func readAnswer(answers *bufio.Reader) string {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("status %d, Request-Id %q, close %v, %d bytes, error %v", resp.StatusCode, resp.Header.Get("Request-Id"), resp.Close, len(body), err)
}
