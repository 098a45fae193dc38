//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	// weightsAfter is when new weights are named, from the SIGTERM of the leader on: late enough that it still sends orders when it ends.
	weightsAfter = 1750 * time.Millisecond
	// restartAfter is how long after a kill the platform starts a process again.
	restartAfter = 200 * time.Millisecond
	// electionLimit is how long an election may take.
	electionLimit = 15 * time.Second
	// replacedAfter is when another machine replaces the one that was removed.
	replacedAfter = 4 * time.Second
	watchFor      = 8 * time.Second
	// fewEngines are so few that the leader sends orders to all of them at once, before it ends.
	fewEngines = 4
)

// runRegainedLease removes the leader by SIGTERM while it sends orders, kills the process that becomes the leader then, and starts it again. It
// checks the orders as runOldLeader does (rule ONE).
func runRegainedLease(args []string) (bool, error) {
	r, err := newRig(args[0], chatConfiguration())
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	if err := r.startEngines(fewEngines, zones); err != nil {
		return false, err
	}
	if err := r.startEntries(zones...); err != nil {
		return false, err
	}
	if err := waitFor(10*time.Second, func() bool { return r.leader() != nil }); err != nil {
		return false, fmt.Errorf("no leader: %w", err)
	}
	time.Sleep(4 * time.Second)
	first := r.leader()
	if first == nil {
		return false, fmt.Errorf("the leader is gone without a disruption")
	}
	began := time.Now()
	r.record.printf("%s leads", first.name)
	if disrupts() {
		r.record.printf("SIGTERM to %s, whose machine is removed", first.name)
		if err := first.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		go func() { _ = first.cmd.Wait() }()
	}
	time.Sleep(time.Until(began.Add(weightsAfter)))
	if err := r.nameWeights(2); err != nil {
		return false, err
	}
	if disrupts() {
		var second *entry
		for deadline := time.Now().Add(electionLimit); ; time.Sleep(10 * time.Millisecond) {
			if second = r.leader(); second != nil && second != first {
				break
			}
			if time.Now().After(deadline) {
				return false, fmt.Errorf("no other leader")
			}
		}
		r.record.printf("%s leads", second.name)
		r.kill(second.name, second.cmd)
		time.Sleep(restartAfter)
		if err := r.startEntry(second); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	if err := r.nameWeights(3); err != nil {
		return false, err
	}
	time.Sleep(replacedAfter)
	if last := r.leader(); last != nil {
		r.record.printf("%s leads", last.name)
	}
	if disrupts() {
		r.entries = nil
		if err := r.startEntries(zones[0] + "-new"); err != nil {
			return false, err
		}
	}
	time.Sleep(watchFor - replacedAfter)
	return r.checkOrders(fewEngines)
}

// chatConfiguration is a configuration with one route to engines.
func chatConfiguration() hosted.Configuration {
	return hosted.Configuration{
		Version: 1,
		Routes: []hosted.Route{{
			Name: "r-chat", Hostname: "review.example", PathPrefix: "/chat/", Type: "streaming", Backend: "modeles", TimeoutMs: 12000,
			TargetLatencyMs: 400, GapAimMs: 400, MaxAttempts: 2, Sticky: true, Resumable: true,
		}},
		Services: []map[string]any{hosted.EngineService("modeles", engineModel, 8)},
		Limits:   hosted.DefaultLimits(),
		Tenants:  []hosted.Tenant{{Name: "tenant-a", APIKeys: []string{"key-of-tenant-a"}}},
	}
}

// startEngines starts engines that journal the orders that they accept.
func (r *rig) startEngines(count int, zones []string) error {
	for i := range count {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.start(id, "target/review/gypsum-standin", "hosted-endpoint", "--listen", freeAddress(), "--store", r.storeAddr, "--id", id,
			"--service", "modeles", "--zone", zones[i%len(zones)], "--model", engineModel, "--events", "20"); err != nil {
			return err
		}
	}
	return nil
}
