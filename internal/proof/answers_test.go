package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/load"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/standin/depot"
	"gypsumvale/internal/standin/model"
)

func chatOf(text string, tokens int) *api.ChatRequest {
	return &api.ChatRequest{Model: layout.Deployment, MaxTokens: tokens, Messages: []api.Message{{Role: "user", Content: text}}}
}

// runLoad sends requests of the given mix until all are answered, and fails the test on any wrong or missing answer.
func (c *cluster) runLoad(mix []load.KindShare, requests int, seed uint64) *load.Result {
	r := load.Run(context.Background(), load.Config{Layout: c.layout, Requests: requests, Concurrency: 24, Seed: seed, Mix: mix, GiveUpAfter: time.Minute})
	if r.Wrong > 0 || r.Unanswered > 0 {
		c.t.Errorf("%d wrong and %d missing answers to %d requests: %v", r.Wrong, r.Unanswered, requests, r.Details)
	}
	return r
}

func (c *cluster) engineStats() model.Stats {
	var sum model.Stats
	for _, e := range c.layout.Engines {
		var s model.Stats
		c.stats(e.Address, &s)
		sum.Requests += s.Requests
		sum.Tokens += s.Tokens
		sum.BadBlocks += s.BadBlocks
		sum.Fetched += s.Fetched
		sum.Crashes += s.Crashes
		sum.Resumed += s.Resumed
		sum.StaleOrders += s.StaleOrders
		sum.Loads += s.Loads
	}
	return sum
}

func (c *cluster) storeStats() depot.Stats {
	var sum depot.Stats
	for _, e := range c.layout.Stores {
		var s depot.Stats
		c.stats(e.Address, &s)
		sum.Reads += s.Reads
		sum.Refused += s.Refused
		sum.Careless += s.Careless
		sum.Writes += s.Writes
		sum.Full += s.Full
	}
	return sum
}

var promptMix = []load.KindShare{{Kind: load.KindQuick, Percent: 60}, {Kind: load.KindReturn, Percent: 35}, {Kind: load.KindLong, Percent: 5}}

// TestProveWholeAnswers checks that callers get complete answers of their own. It covers engines that truncate, repeat, misdirect or drop
// stream events, equal prompts from several workspaces, and an entry that is killed during a long answer.
func TestProveWholeAnswers(t *testing.T) {
	sizes := clusterSizes
	// With six engines a zone, a retry that is routed wrongly rarely reaches the engine that holds the stream by chance.
	sizes.Engines = 18
	c := newCluster(t, sizes, nil)
	for i, e := range c.layout.Engines {
		c.setFault(e.Address, model.Fault{Truncate: 0.15, Repeat: 0.15, Foreign: 0.15, Drop: 0.15, Seed: envSeed() + uint64(i)})
	}
	r := c.runLoad(promptMix, 400, envSeed())
	for _, e := range c.layout.Engines {
		c.setFault(e.Address, model.Fault{})
	}
	c.sendEqualPrompts()
	before := c.engineStats()
	// The caller retries at an entry of the same zone, of the second zone and of the third.
	for _, second := range []int{3, 1, 2} {
		c.killDuringAnswer(c.layout.Entries[second])
	}
	after := c.engineStats()
	if resumed := after.Resumed - before.Resumed; resumed < 3 {
		t.Errorf("%d of 3 answers were resumed; the others started from the beginning", resumed)
	}
	c.reportResult("whole answers to the right caller", 1, r.Attempts, fmt.Sprintf("%d answers with spoilt streams, %d engine requests, resumed %d", r.Answered, after.Requests, after.Resumed-before.Resumed))
}

// sendEqualPrompts sends the same prompt through every entry at once, with keys of different workspaces. No workspace may reuse the
// cached context of another.
func (c *cluster) sendEqualPrompts() {
	text := strings.Repeat("the same long contract ", 2000)
	var wg sync.WaitGroup
	for i, e := range c.layout.Entries {
		ws := c.layout.Workspaces[i%len(c.layout.Workspaces)]
		wg.Go(func() {
			key := uuid.Must(uuid.NewV7()).String()
			o := load.NewClient().Stream(context.Background(), load.Target{Address: e.Callers, APIKey: ws.Key, IdempotencyKey: key}, chatOf(text, 50))
			if o.Code != load.CodeOK {
				c.t.Errorf("equal prompt: %+v", o)
			}
			if o.Usage.ReusedTokens > 0 && i < len(c.layout.Workspaces) {
				c.t.Errorf("workspace %s reused another workspace's cached context", ws.Name)
			}
		})
	}
	wg.Wait()
}

// killDuringAnswer kills an entry while it streams a long answer; the caller's retry at the second entry must resume the answer.
func (c *cluster) killDuringAnswer(second layout.Entry) {
	first := c.layout.Entries[0]
	key := uuid.Must(uuid.NewV7()).String()
	ws := c.layout.Workspaces[0]
	chat := chatOf("a long redraft", 1500)
	time.AfterFunc(time.Second, func() { c.signal(first.Name, syscall.SIGKILL) })
	o := load.NewClient().Stream(context.Background(), load.Target{Address: first.Callers, APIKey: ws.Key, IdempotencyKey: key}, chat)
	if o.Code == load.CodeOK {
		c.t.Errorf("the answer was complete before the entry was killed")
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		o = load.NewClient().Stream(context.Background(), load.Target{Address: second.Callers, APIKey: ws.Key, IdempotencyKey: key}, chat)
		if o.Code == load.CodeOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if o.Code != load.CodeOK {
		c.t.Errorf("retry after the kill: %+v", o)
	}
	c.restart(first.Name)
	c.waitReady(first)
}

// badBlockTimeout bounds the extra load until a store has served a bad block; without one the test would prove nothing.
const badBlockTimeout = 30 * time.Second

// TestProveBlocks injects all faults of cache stores while weights change, and checks by the stores' and engines' counters that engines
// reject every freed, partial or foreign block.
func TestProveBlocks(t *testing.T) {
	c := newCluster(t, clusterSizes, func(l *layout.Layout) {
		l.CachePieces = 7
		l.StoreBytes = 60 * int64(l.PieceBytes)
	})
	seed := envSeed()
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		random := rand.New(rand.NewPCG(seed, 5))
		for step := 0; ; step++ {
			select {
			case <-done:
				return
			case <-time.After(300 * time.Millisecond):
			}
			c.injectStoreFault(random, step)
		}
	})
	returnMix := []load.KindShare{{Kind: load.KindReturn, Percent: 100}}
	r := c.runLoad(returnMix, 300, seed)
	status, body := c.submit(c.entry(1), weightsTicket(c, 2, "v2"))
	if status != 200 {
		t.Fatalf("swap: %d %s", status, body)
	}
	afterSwap := c.runLoad(returnMix, 300, seed)
	answered := r.Answered + afterSwap.Answered
	// By chance, five reads a run on average meet a store that serves invalid blocks. The load is repeated until one has.
	for deadline := time.Now().Add(badBlockTimeout); c.storeStats().Careless == 0 && time.Now().Before(deadline); {
		answered += c.runLoad(returnMix, 300, seed).Answered
	}
	close(done)
	wg.Wait()
	engines, stores := c.engineStats(), c.storeStats()
	if stores.Careless > engines.BadBlocks {
		t.Errorf("stores served %d bad blocks, but engines rejected %d", stores.Careless, engines.BadBlocks)
	}
	if stores.Careless == 0 || engines.Fetched == 0 {
		t.Errorf("the faults had no effect: %d bad blocks served, %d tokens fetched", stores.Careless, engines.Fetched)
	}
	c.reportResult("no freed, partial or foreign block is read", 1, answered,
		fmt.Sprintf("%d reads, %d refused by generation, %d bad blocks served and %d rejected, %d writes, %d times full",
			stores.Reads, stores.Refused, stores.Careless, engines.BadBlocks, stores.Writes, stores.Full))
}

func (c *cluster) injectStoreFault(random *rand.Rand, step int) {
	s := c.layout.Stores[step%len(c.layout.Stores)]
	c.setFault(s.Address, depot.Fault{Careless: true, Lose: 12})
	switch random.IntN(6) {
	case 0:
		c.setFault(s.Address, depot.Fault{Dead: true})
	case 1:
		c.setFault(s.Address, depot.Fault{Restart: true, Careless: true, Lose: 3})
	case 2:
		c.setFault(s.Address, depot.Fault{Corrupt: true})
	case 3, 4:
		c.setFault(s.Address, depot.Fault{Careless: true})
		if random.IntN(2) == 0 {
			// An entry, perhaps the store's owner, is frozen while blocks are freed.
			e := c.entry(random.IntN(6))
			c.signal(e.Name, syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			c.signal(e.Name, syscall.SIGCONT)
		}
	case 5:
		c.setFault(s.Address, depot.Fault{})
	}
}
