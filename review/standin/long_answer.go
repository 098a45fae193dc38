//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	longAnswerBytes = 600_000
	replicas        = 5
	clientsPerEntry = 4
	crashAt         = 4 * time.Second
	crashFor        = time.Second
	crashes         = 3
	crashGap        = 4 * time.Second
	playFor         = 18 * time.Second
)

// runLongAnswer has replicas crash in the middle of long answers on an idempotent route, and checks that no client takes a body that isn't one
// replica's whole body for a complete answer (rule MIXED).
func runLongAnswer(args []string) (bool, error) {
	r, err := newRig(args[0], hosted.Configuration{
		Version: 1,
		Routes: []hosted.Route{{
			Name: "r-read", Hostname: "review.example", PathPrefix: "/read/", Type: "idempotent", Backend: "reports", TimeoutMs: 8000,
			TargetLatencyMs: 1500, Priority: 2, MaxAttempts: 2,
		}},
		Services: []map[string]any{hosted.PlainService("reports")},
		Limits:   hosted.DefaultLimits(),
		Tenants:  []hosted.Tenant{{Name: "tenant-a", APIKeys: []string{"key-of-tenant-a"}}},
	})
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	list := make([]*exec.Cmd, replicas)
	addresses := make([]string, replicas)
	startReplica := func(i int) error {
		id := fmt.Sprintf("i-%d", i)
		cmd, err := r.start(id, "target/review/standin", "replica", "--listen", addresses[i], "--id", id, "--service", "reports",
			"--zone", zones[i%len(zones)], "--store", r.storeAddr, "--size", fmt.Sprint(longAnswerBytes))
		list[i] = cmd
		return err
	}
	for i := range replicas {
		addresses[i] = freeAddress()
		if err := startReplica(i); err != nil {
			return false, err
		}
	}
	if err := r.startEntries(zones...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var served, failed, mixed atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(playFor)
	for _, e := range r.entries {
		for c := range clientsPerEntry {
			clients.Go(func() {
				client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableCompression: true}}
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-c%d-%d", e.name, c, n)
					switch fault, err := readOnce(client, e.callers, id); {
					case fault != "":
						mixed.Add(1)
						r.record.printf("MIXED %s at %s: %s", id, e.name, fault)
					case err != nil:
						failed.Add(1)
						r.record.printf("failed %s at %s: %v", id, e.name, err)
					default:
						served.Add(1)
						r.record.printf("served %s at %s", id, e.name)
					}
				}
			})
		}
	}
	if disrupts() {
		for n := range crashes {
			at := crashAt + time.Duration(n)*crashGap
			time.Sleep(time.Until(end.Add(at - playFor)))
			r.kill(fmt.Sprintf("i-%d", n), list[n])
			time.Sleep(crashFor)
			if err := startReplica(n); err != nil {
				return false, err
			}
		}
	}
	clients.Wait()
	r.record.printf("served %d, failed %d, MIXED %d", served.Load(), failed.Load(), mixed.Load())
	fmt.Printf("served %d, failed %d, MIXED %d\n", served.Load(), failed.Load(), mixed.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return mixed.Load() > 0, nil
}

// readOnce sends one request. It returns a fault if the answer is a success that looks complete and isn't the whole body of the replica that
// signed it, and an error if there was no complete success.
func readOnce(client *http.Client, address, id string) (fault string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/"+id, nil)
	if err != nil {
		return "", err
	}
	req.Host = "review.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Credential", "key-of-tenant-a")
	req.Header.Set("Deadline-Ms", "10000")
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", fmt.Errorf("status %d, %d bytes, then: %w", resp.StatusCode, len(body), err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	replica, sealed, _ := strings.Cut(resp.Header.Get("Response-Seal"), ".")
	want := answerBody(replica, id, longAnswerBytes)
	switch {
	case sealed != id:
		return fmt.Sprintf("status 200 with the seal %q", resp.Header.Get("Response-Seal")), nil
	case string(body) != want:
		same := 0
		for same < min(len(body), len(want)) && body[same] == want[same] {
			same++
		}
		next := string(body[same:min(len(body), same+80)])
		return fmt.Sprintf("status 200, sealed by %s, complete with %d bytes; the replica's body has %d, of which the first %d agree; then %q",
			replica, len(body), len(want), same, next), nil
	}
	return "", nil
}
