//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	lateHost  = "review.example"
	lateModel = "m0"
	// lateEvents and latePause make a stream of 6 s, well below the deadline and the route's timeout.
	lateEvents = 60
	latePause  = 100 * time.Millisecond
	// connectAfter and sentAfter are when a client opens a connection and when it has sent the last byte of its request, from the SIGTERM on. The
	// balancer still sends new connections at the first: it takes a machine out after two failed questions, a second apart.
	connectAfter = time.Second
	sentAfter    = 4500 * time.Millisecond
	// A client sends its body in pieces.
	lateBodyBytes  = 12_000
	lateBodyPieces = 12
	lateClients    = 4
	graceTime      = 8 * time.Second
)

// runLateRequest stops an entry by SIGTERM while clients are sending requests to it, and checks that each request that it has read is answered
// completely or not passed on (rule LOST).
func runLateRequest(args []string) (bool, error) {
	r, err := newRig(args[0], hosted.Configuration{
		Version: 1,
		Routes: []hosted.Route{{
			Name: "r-chat", Hostname: lateHost, PathPrefix: "/chat/", Type: "streaming", Backend: "modeles", TimeoutMs: 15000, TargetLatencyMs: 400,
			GapAimMs: 400, MaxAttempts: 1, Sticky: true,
		}},
		Services: []map[string]any{hosted.EngineService("modeles", lateModel, 16)},
		Limits:   hosted.DefaultLimits(),
		Tenants:  []hosted.Tenant{{Name: "tenant-a", APIKeys: []string{"key-of-tenant-a"}}},
	})
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.start(id, "target/review/standin", "engine", "--listen", freeAddress(), "--id", id, "--service", "modeles", "--zone", zone,
			"--store", r.storeAddr, "--model", lateModel, "--events", fmt.Sprint(lateEvents), "--pause", latePause.String()); err != nil {
			return false, err
		}
	}
	if err := r.startEntries(zones...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	stopped := r.entries[0]
	began := time.Now()
	if disrupts() {
		r.record.printf("SIGTERM to %s, process %d", stopped.name, stopped.cmd.Process.Pid)
		if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var lost, whole, refused, other atomic.Int64
	var clients sync.WaitGroup
	for n := range lateClients {
		clients.Go(func() {
			id := fmt.Sprintf("c-%d", n)
			switch result := lateRequest(r, stopped, id, began); {
			case strings.HasPrefix(result, "whole"):
				whole.Add(1)
			case strings.HasPrefix(result, "503"):
				refused.Add(1)
			case strings.HasPrefix(result, "cut"):
				lost.Add(1)
				r.record.printf("LOST %s: %s", id, result)
			default:
				other.Add(1)
			}
		})
	}
	if disrupts() {
		ended := make(chan error, 1)
		go func() { ended <- stopped.cmd.Wait() }()
		select {
		case err := <-ended:
			r.record.printf("%s has ended %.3f s after the SIGTERM (error: %v)", stopped.name, time.Since(began).Seconds(), err)
		case <-time.After(time.Until(began.Add(graceTime))):
			r.record.printf("SIGKILL %s after the grace", stopped.name)
			_ = stopped.cmd.Process.Kill()
			<-ended
		}
		if err := r.startEntry(stopped); err != nil {
			return false, err
		}
	}
	clients.Wait()
	text := fmt.Sprintf("whole %d, refused as not run %d, LOST %d, other %d", whole.Load(), refused.Load(), lost.Load(), other.Load())
	r.record.printf("%s", text)
	fmt.Println(text)
	if whole.Load()+refused.Load()+lost.Load() == 0 {
		return false, fmt.Errorf("no request was read")
	}
	return lost.Load() > 0, nil
}

// lateRequest opens a connection, sends a request there with a body that takes some seconds, and describes the end of it.
func lateRequest(r *rig, e *entry, id string, began time.Time) string {
	time.Sleep(time.Until(began.Add(connectAfter)))
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		r.record.printf("%s has no connection: %v", id, err)
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(20 * time.Second))
	r.record.printf("%s has opened a connection to %s", id, e.name)
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: key-of-tenant-a\r\nDeadline-Ms: 15000\r\nModel: %s\r\n"+
		"Token-Usage: 700,%d\r\nPrompt-Prefix: 5c1e07a2:400,%x:300\r\nContent-Length: %d\r\n\r\n", lateHost, id, lateModel, lateEvents, id, lateBodyBytes)
	r.record.printf("%s has sent its head, %.3f s after the beginning (error: %v)", id, time.Since(began).Seconds(), err)
	piece := strings.Repeat("x", lateBodyBytes/lateBodyPieces)
	for n := 1; n <= lateBodyPieces; n++ {
		time.Sleep(time.Until(began.Add(connectAfter + time.Duration(n)*(sentAfter-connectAfter)/lateBodyPieces)))
		if _, err = io.WriteString(conn, piece); err != nil {
			break
		}
	}
	r.record.printf("%s has sent the last byte of its request, %.3f s after the beginning (error: %v)", id, time.Since(began).Seconds(), err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.record.printf("%s got no answer: %v, after %.3f s", id, err, time.Since(began).Seconds())
		return "unread: " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	events := strings.Count(string(body), "\n\n")
	r.record.printf("%s got status %d and %d of %d events, until %.3f s after the beginning (error: %v)", id, resp.StatusCode, events, lateEvents,
		time.Since(began).Seconds(), err)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "503"
	case resp.StatusCode == http.StatusOK && err == nil && events == lateEvents:
		return "whole"
	case resp.StatusCode == http.StatusOK:
		return fmt.Sprintf("cut after %d of %d events: %v", events, lateEvents, err)
	}
	return "other"
}
