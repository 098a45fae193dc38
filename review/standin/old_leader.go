//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	engines     = 12
	engineModel = "m0"
	// leaseTime is LeaseMs.
	leaseTime = 3 * time.Second
	// cutFor is how long the leader has no path to the store; storeAwayAt and storeBackAt are when the store is away, from the beginning of the cut.
	cutFor      = 5500 * time.Millisecond
	storeAwayAt = 5200 * time.Millisecond
	storeBackAt = 6000 * time.Millisecond
	// firstBumpAt is when new weights are named, from the beginning of the cut, and secondBumpAfter when they are named again after the store is
	// back.
	firstBumpAt     = time.Second
	secondBumpAfter = 300 * time.Millisecond
	afterStoreBack  = 8 * time.Second
)

// control sends a call to the store's control interface.
func (r *rig) control(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+r.storeAddr+"/control/"+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}

// leader returns the entry that the store names as the leader, or nil.
func (r *rig) leader() *entry {
	resp, err := http.Get("http://" + r.storeAddr + "/-/kv-key?Key=gypsum/lead")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var item struct{ Value []byte }
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &item) != nil {
		return nil
	}
	for _, e := range r.entries {
		if bytes.Contains(item.Value, []byte(e.name)) {
			return e
		}
	}
	return nil
}

// nameWeights names new weights on behalf of the operator.
func (r *rig) nameWeights(version int) error {
	r.record.printf("the operator names version %d of %s", version, engineModel)
	return r.put("op/version/"+engineModel, map[string]any{"Model": engineModel, "Version": version})
}

// runOldLeader cuts the leader off from the store until another instance has sent orders, and restores the store from a copy that was made before
// the cut. It checks that no replica gets an order with a lower fencing token after one with a higher token, or orders of two holders within
// LeaseMs (rule ONE).
func runOldLeader(args []string) (bool, error) {
	r, err := newRig(args[0], chatConfiguration())
	if err != nil {
		return false, err
	}
	defer r.close()
	zones := []string{"rennes", "brest", "vannes"}
	if err := r.startEngines(engines, zones); err != nil {
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
	r.record.printf("%s leads", first.name)
	if err := r.control("copy", nil); err != nil {
		return false, err
	}
	r.record.printf("a copy of the store was made")
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if disrupts() {
		first.store.setCut(true)
		r.record.printf("%s is cut off from the store", first.name)
	}
	at(firstBumpAt)
	if err := r.nameWeights(2); err != nil {
		return false, err
	}
	at(storeAwayAt - 100*time.Millisecond)
	if second := r.leader(); second != nil {
		r.record.printf("%s leads", second.name)
	}
	if disrupts() {
		at(storeAwayAt)
		if err := r.control("fault", hosted.StoreFault{Down: true}); err != nil {
			return false, err
		}
		r.record.printf("the store is away")
		at(cutFor)
		first.store.setCut(false)
		r.record.printf("%s reaches the store's address again", first.name)
		at(storeBackAt)
		if err := r.control("restore", nil); err != nil {
			return false, err
		}
		if err := r.control("fault", hosted.StoreFault{}); err != nil {
			return false, err
		}
		r.record.printf("the store is back, from the copy, %.1f s old", time.Since(began).Seconds())
		if err := r.nameWeights(2); err != nil {
			return false, err
		}
	}
	at(storeBackAt + secondBumpAfter)
	if err := r.nameWeights(3); err != nil {
		return false, err
	}
	at(storeBackAt + afterStoreBack)
	if last := r.leader(); last != nil {
		r.record.printf("%s leads", last.name)
	}
	return r.checkOrders(engines)
}

// receivedOrder is an order that a replica accepted.
type receivedOrder struct {
	at      time.Time
	replica string
	hosted.Order
}

// checkOrders reports whether the orders that replicas accepted break the rule ONE.
func (r *rig) checkOrders(count int) (bool, error) {
	var orders []receivedOrder
	for i := range count {
		text, err := os.ReadFile(filepath.Join(r.work, fmt.Sprintf("i-%d.log", i)))
		if err != nil {
			return false, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			var j hosted.JournalEntry
			if json.Unmarshal([]byte(line), &j) == nil && j.Order != nil {
				orders = append(orders, receivedOrder{j.At, j.Endpoint, *j.Order})
			}
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].at.Before(orders[j].at) })
	last := make(map[string]receivedOrder)
	highest := make(map[string]uint64)
	lower, turns := 0, 0
	for _, o := range orders {
		note := ""
		if o.Fence < highest[o.replica] {
			lower++
			note += fmt.Sprintf("; ONE: the token is lower than %d, which came before", highest[o.replica])
		}
		if before, ok := last[o.replica]; ok && before.Owner != o.Owner && o.at.Sub(before.at) < leaseTime {
			turns++
			note += fmt.Sprintf("; ONE: %d ms after an order of %s", o.at.Sub(before.at).Milliseconds(), before.Owner)
		}
		last[o.replica], highest[o.replica] = o, max(highest[o.replica], o.Fence)
		r.record.printf("order at %.3f: replica %s, version %d, holder %s, token %d%s", o.at.Sub(r.record.start).Seconds(), o.replica, o.Version,
			o.Owner, o.Fence, note)
	}
	text := fmt.Sprintf("orders %d, with a lower token %d, holders in turn within LeaseMs %d", len(orders), lower, turns)
	r.record.printf("%s", text)
	fmt.Println(text)
	if len(orders) == 0 {
		return false, fmt.Errorf("no order was sent")
	}
	return lower+turns > 0, nil
}
