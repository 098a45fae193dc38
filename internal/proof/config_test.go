package proof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/layout"
	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/state/catalog"
)

// configSizes has as many entries as today's installation, but few endpoints, since the configuration concerns the entries only.
var configSizes = layout.Sizes{Entries: 18, Engines: 3, Services: 3, Stores: 1, Workspaces: 2}

func deploymentTicket(number uint64, names ...string) *ticket.Ticket {
	t := &ticket.Ticket{Number: number}
	for _, name := range names {
		t.Objects = append(t.Objects, &catalog.Object{
			ID:    catalog.ID{Kind: catalog.KindDeployment, Name: name},
			State: []byte(fmt.Sprintf(`{"model":"m","version":"v%d"}`, number)),
		})
	}
	return t
}

// watchRevisions polls every entry, and fails the test if an entry's revision decreases within one incarnation.
func (c *cluster) watchRevisions(ctx context.Context, wg *sync.WaitGroup) {
	for _, e := range c.layout.Entries {
		wg.Go(func() {
			highest := make(map[string]catalog.Revision)
			for ctx.Err() == nil {
				if s, err := c.state(e); err == nil {
					if s.Revision < highest[s.Incarnation] {
						c.t.Errorf("%s went back from revision %d to %d", s.Incarnation, highest[s.Incarnation], s.Revision)
					}
					highest[s.Incarnation] = s.Revision
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestProveConfiguration checks that an accepted ticket takes effect everywhere and is never reverted, while operators submit tickets
// concurrently through all entries under kills, freezes, lost replies, platform outages and partitions.
func TestProveConfiguration(t *testing.T) {
	c := newCluster(t, configSizes, nil)
	seed := envSeed()
	propagation := c.measurePropagation(10)
	calls := c.idlePlatformCallRate()
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	c.watchRevisions(ctx, &watching)
	accepted, attempts := c.submitConcurrently(seed, time.Now().Add(envSeconds(10)))
	cancel()
	watching.Wait()
	revision := c.checkConfiguration(accepted)
	c.startDuringOutage(revision)
	c.reportResult("accepted is in force, never reverts", 1, attempts,
		fmt.Sprintf("%d accepted; in force on 18 entries after %s at most; platform calls at rest %.1f a second", len(accepted), propagation.Round(time.Millisecond), calls))
}

// measurePropagation submits n tickets and returns the longest time from acceptance until every entry has the ticket's revision.
func (c *cluster) measurePropagation(n int) time.Duration {
	var longest time.Duration
	for i := range n {
		number := uint64(100 + i)
		status, body := c.submit(c.entry(i), deploymentTicket(number, "probe"))
		if status != http.StatusOK {
			c.t.Fatalf("ticket %d: %d %s", number, status, body)
		}
		started := time.Now()
		var answer struct {
			Revision uint64 `json:"revision"`
		}
		if err := json.Unmarshal([]byte(body), &answer); err != nil {
			c.t.Fatal(err)
		}
		c.waitRevision(answer.Revision)
		longest = max(longest, time.Since(started))
	}
	return longest
}

// idlePlatformCallRate returns the calls per second at the key-value service while there is no load.
func (c *cluster) idlePlatformCallRate() float64 {
	count := func() int64 {
		var s keyvalue.Stats
		c.stats(c.layout.KeyValue, &s)
		return s.Reads + s.Writes + s.Watches + s.Leases + s.Lists + s.Deletes
	}
	const window = 4 * time.Second
	before := count()
	time.Sleep(window)
	return float64(count()-before) / window.Seconds()
}

// submitConcurrently runs four operators that submit tickets through random entries until the given time, under faults. An attempt
// without a definite result is repeated with the same ticket.
func (c *cluster) submitConcurrently(seed uint64, end time.Time) (accepted map[uint64]*ticket.Ticket, attempts int) {
	accepted = make(map[uint64]*ticket.Ticket)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := uint64(1000)
	for operator := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		wg.Go(func() {
			for time.Now().Before(end) {
				mu.Lock()
				next++
				number := next
				mu.Unlock()
				names := []string{fmt.Sprintf("d%d", random.IntN(3)), fmt.Sprintf("x%d", random.IntN(3))}
				submitted := deploymentTicket(number, names...)
				for range 40 {
					status, _ := c.submit(c.entry(random.IntN(18)), submitted)
					mu.Lock()
					attempts++
					if status == http.StatusOK {
						accepted[number] = submitted
					}
					mu.Unlock()
					if status == http.StatusOK || status == http.StatusConflict || status == http.StatusBadRequest {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			}
		})
	}
	c.injectConfigurationFaults(rand.New(rand.NewPCG(seed, 1000)), end)
	wg.Wait()
	c.clearFaults()
	return accepted, attempts
}

func (c *cluster) injectConfigurationFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		e := c.entry(random.IntN(18))
		switch random.IntN(5) {
		case 0:
			c.signal(e.Name, syscall.SIGKILL)
			c.restart(e.Name)
		case 1:
			c.setFault(c.layout.KeyValue, keyvalue.Fault{LoseReplies: 0.4, Seed: random.Uint64()})
			time.Sleep(time.Second)
		case 2:
			c.setFault(c.layout.KeyValue, keyvalue.Fault{Down: true})
			time.Sleep(600 * time.Millisecond)
		case 3:
			c.partition(e.Zone, random.IntN(2) == 0)
			time.Sleep(time.Second)
			c.partition("", false)
		case 4:
			c.signal(e.Name, syscall.SIGSTOP)
			time.Sleep(1200 * time.Millisecond)
			c.signal(e.Name, syscall.SIGCONT)
		}
		c.setFault(c.layout.KeyValue, keyvalue.Fault{})
	}
}

// checkConfiguration checks that the audit trail holds every accepted ticket once, with consecutive revisions, and that every entry
// reaches the last revision and the state that the trail gives.
func (c *cluster) checkConfiguration(accepted map[uint64]*ticket.Ticket) uint64 {
	status, body, err := c.admin(c.entry(0), http.MethodGet, "/admin/v1/audit?limit=5000", nil)
	if err != nil || status != http.StatusOK {
		c.t.Fatalf("audit: %d %v", status, err)
	}
	var records []ticket.Record
	if err := json.Unmarshal(body, &records); err != nil {
		c.t.Fatal(err)
	}
	trail := make(map[uint64]bool)
	revision := catalog.Revision(0)
	for _, r := range records {
		if r.Result != ticket.ResultAccepted {
			continue
		}
		if trail[r.Number] || r.Revision != revision+1 {
			c.t.Errorf("audit trail: ticket %d is repeated, or has revision %d after %d", r.Number, r.Revision, revision)
		}
		trail[r.Number] = true
		revision = r.Revision
	}
	highest := make(map[catalog.ID]uint64)
	for number, submitted := range accepted {
		if !trail[number] {
			c.t.Errorf("ticket %d was accepted but is not on the audit trail", number)
		}
		for _, o := range submitted.Objects {
			highest[o.ID] = max(highest[o.ID], number)
		}
	}
	c.waitRevision(uint64(revision))
	for _, e := range c.layout.Entries {
		c.checkObjects(e, highest, trail)
	}
	return uint64(revision)
}

// checkObjects checks that each object of an entry has the highest accepted ticket or a later one on the audit trail: a ticket whose
// operator got no answer may also have been accepted.
func (c *cluster) checkObjects(e layout.Entry, highest map[catalog.ID]uint64, trail map[uint64]bool) {
	status, body, err := c.admin(e, http.MethodGet, "/admin/v1/objects?kind=deployment", nil)
	if err != nil || status != http.StatusOK {
		c.t.Errorf("objects of %s: %d %v", e.Name, status, err)
		return
	}
	var objects []catalog.Object
	if err := json.Unmarshal(body, &objects); err != nil {
		c.t.Error(err)
		return
	}
	byID := make(map[catalog.ID]catalog.Object)
	for _, o := range objects {
		byID[o.ID] = o
	}
	for id, number := range highest {
		o := byID[id]
		if o.Ticket < number || !trail[o.Ticket] {
			c.t.Errorf("%s: %s has ticket %d instead of %d or a later one on the audit trail", e.Name, id, o.Ticket, number)
		}
	}
}

// startDuringOutage restarts an entry while the key-value service is down; the entry must get the configuration from its peers.
func (c *cluster) startDuringOutage(revision uint64) {
	c.setFault(c.layout.KeyValue, keyvalue.Fault{Down: true})
	e := c.entry(4)
	c.signal(e.Name, syscall.SIGKILL)
	c.restart(e.Name)
	c.waitReady(e)
	c.waitEntryRevision(e, revision)
	c.setFault(c.layout.KeyValue, keyvalue.Fault{})
}
