//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	wallHost      = "review.example"
	wallModel     = "m0"
	wallReplicas  = 3
	wallRequests  = 12
	isolatedName  = "tenant-a"
	wallRequestMs = "8000"
)

// wallConfiguration is the configuration with two tenants, of which the first may be isolated.
func wallConfiguration(version int, isolated bool) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []hosted.Route{{
			Name: "r-chat", Hostname: wallHost, PathPrefix: "/chat/", Type: "streaming", Backend: "modeles", TimeoutMs: 8000, TargetLatencyMs: 400,
			GapAimMs: 400, MaxAttempts: 2, Sticky: true, Resumable: true,
		}},
		"Services": []map[string]any{hosted.EngineService("modeles", wallModel, 8)},
		"Limits":   hosted.DefaultLimits(),
		"Tenants": []map[string]any{
			{"Name": isolatedName, "ApiKeys": []string{"key-of-tenant-a"}, "Isolated": isolated},
			{"Name": "tenant-b", "ApiKeys": []string{"key-of-tenant-b"}},
		},
	}
}

// runNewWall has the operator isolate a tenant, and checks that from then on no request uses KV cache that a request of another tenant made if one
// of the two is the isolated one (rule WALL).
func runNewWall(args []string) (bool, error) {
	r, err := newRig(args[0], wallConfiguration(1, false))
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	for i := range wallReplicas {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.start(id, "target/review/standin", "engine", "--listen", freeAddress(), "--id", id, "--service", "modeles", "--zone", zones[i%len(zones)],
			"--store", r.storeAddr, "--model", wallModel); err != nil {
			return false, err
		}
	}
	if err := r.startEntries(zones...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	send := func(tenant string) {
		for n := range wallRequests {
			id := fmt.Sprintf("%s-%d", tenant, n)
			status, err := chat(r.entries[n%len(r.entries)], id, "key-of-"+tenant)
			r.record.printf("sent %s, answered %d (error: %v)", id, status, err)
		}
	}
	send(isolatedName)
	if disrupts() {
		if err := r.put("op/config", wallConfiguration(2, true)); err != nil {
			return false, err
		}
		r.record.printf("the operator has written version 2, in which %s is isolated", isolatedName)
	}
	time.Sleep(applyTime)
	isolatedFrom := time.Now()
	send("tenant-b")
	return r.checkWall(isolatedFrom)
}

// chat sends a request whose prompt begins with two parts that all tenants share.
func chat(e *entry, id, key string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/chat/x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = wallHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", wallRequestMs)
	req.Header.Set("Model", wallModel)
	req.Header.Set("Token-Usage", "1500,5")
	req.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:400,"+fmt.Sprintf("%x", id)+":300")
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

var useLine = regexp.MustCompile(`(?m)^(\d+) (\S+) uses part=(\S+) salt=(\S*) user=(\S+) maker=(\S+) request=(\S+)$`)

// checkWall reports whether a request used what a request of another tenant made though one of the two was isolated by then.
func (r *rig) checkWall(isolatedFrom time.Time) (bool, error) {
	uses, through := 0, 0
	for i := range wallReplicas {
		text, err := os.ReadFile(filepath.Join(r.work, fmt.Sprintf("i-%d.log", i)))
		if err != nil {
			return false, err
		}
		for _, m := range useLine.FindAllStringSubmatch(string(text), -1) {
			uses++
			ms, _ := strconv.ParseInt(m[1], 10, 64)
			note := ""
			if disrupts() && m[5] != m[6] && (m[5] == isolatedName || m[6] == isolatedName) && ms >= isolatedFrom.UnixMilli() {
				through++
				note = ": WALL, " + isolatedName + " is isolated"
			}
			r.record.printf("use: at replica %s, %s of %s goes on from part %s (salt %s), made by %s%s", m[2], m[7], m[5], m[3], m[4], m[6], note)
		}
	}
	text := fmt.Sprintf("uses of kept parts %d, through the wall %d", uses, through)
	r.record.printf("%s", text)
	fmt.Println(text)
	if uses == 0 {
		return false, fmt.Errorf("no part was used")
	}
	return through > 0, nil
}
