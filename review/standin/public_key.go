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
	publicHost = "review.example"
	takenKey   = "key-taken-away"
	// turnedAwayFor is how long the store turns one machine away.
	turnedAwayFor = 9 * time.Second
	// identityBound is the later of RevokeMs and of ConfigApplyMs stretched by MaxSkewMs.
	identityBound = 7 * time.Second
	publicPause   = 50 * time.Millisecond
)

func publicConfiguration(version int, keys ...string) hosted.Configuration {
	return hosted.Configuration{
		Version: version,
		Routes: []hosted.Route{{
			Name: "r-open", Hostname: publicHost, PathPrefix: "/open/", Type: "idempotent", Backend: "comptoir", TimeoutMs: 800, TargetLatencyMs: 150,
			Priority: 2, MaxAttempts: 2, Public: true,
		}},
		Services: []map[string]any{hosted.PlainService("comptoir")},
		Limits:   hosted.DefaultLimits(),
		Tenants:  []hosted.Tenant{{Name: "tenant-a", APIKeys: keys}},
	}
}

// runPublicKey has the operator take a key away while the store turns one machine away, and checks that replicas don't get requests with that key
// in the name of the tenant that held it (rule UNASKED).
func runPublicKey(args []string) (bool, error) {
	r, err := newRig(args[0], publicConfiguration(1, "key-of-tenant-a", takenKey))
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
	if disrupts() {
		r.entries[0].store.setCut(true)
		r.record.printf("the store turns %s away", r.entries[0].name)
	}
	time.Sleep(500 * time.Millisecond)
	if err := r.put("op/config", publicConfiguration(2, "key-of-tenant-a")); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	r.record.printf("the operator has written version 2, without the key")
	client := &http.Client{Timeout: 5 * time.Second}
	sent := make(map[string]time.Time)
	for n := 0; time.Since(acknowledged) < turnedAwayFor-time.Second; n++ {
		e := r.entries[n%len(r.entries)]
		id := fmt.Sprintf("c-%d", n)
		sent[id] = time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/open/x", nil)
		if err != nil {
			return false, err
		}
		req.Host = publicHost
		req.Header.Set("Request-Id", id)
		req.Header.Set("Credential", takenKey)
		req.Header.Set("Deadline-Ms", "1500")
		resp, err := client.Do(req)
		status := 0
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		r.record.printf("sent %s to %s, answered %d (error: %v)", id, e.name, status, err)
		time.Sleep(publicPause)
	}
	r.entries[0].store.setCut(false)
	return r.checkTenants(sent, acknowledged)
}

var tenantLine = regexp.MustCompile(`(?m)^(\d+) (\S+) tenant "(.*)" of (\S+)$`)

// checkTenants reports whether a request that was sent later than identityBound after the key was taken away ran in a tenant's name.
func (r *rig) checkTenants(sent map[string]time.Time, acknowledged time.Time) (bool, error) {
	runs, late, unasked := 0, 0, 0
	for i := range r.entries {
		text, err := os.ReadFile(filepath.Join(r.work, fmt.Sprintf("i-%d.log", i)))
		if err != nil {
			return false, err
		}
		for _, m := range tenantLine.FindAllStringSubmatch(string(text), -1) {
			runs++
			ms, _ := strconv.ParseInt(m[1], 10, 64)
			after := sent[m[4]].Sub(acknowledged)
			note := ""
			if after > identityBound {
				late++
				if m[3] != "" {
					unasked++
					note = ": UNASKED, no tenant holds the key"
				}
			}
			r.record.printf("run: replica %s ran %s at Unix ms %d, sent %.3f s after the acknowledgement, Tenant-Id %q%s", m[2], m[4], ms, after.Seconds(), m[3], note)
		}
	}
	text := fmt.Sprintf("runs %d, of requests sent later than %s after the acknowledgement %d, of these UNASKED %d", runs, identityBound, late, unasked)
	r.record.printf("%s", text)
	fmt.Println(text)
	if late == 0 {
		return false, fmt.Errorf("nothing was run in time")
	}
	return unasked > 0, nil
}
