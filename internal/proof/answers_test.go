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

// runLoad runs prompts and calls until all are answered, and fails on any wrong or missing answer.
func (c *cluster) runLoad(mix []load.KindShare, requests int, seed uint64) *load.Result {
	r := load.Run(context.Background(), load.Config{Layout: c.layout, Requests: requests, Concurrency: 24, Seed: seed, Mix: mix, GiveUpAfter: time.Minute})
	if r.Wrong > 0 || r.Unanswered > 0 {
		c.t.Errorf("%d wrong and %d unanswered of %d: %v", r.Wrong, r.Unanswered, requests, r.Details)
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

var prompts = []load.KindShare{{Kind: load.KindQuick, Percent: 60}, {Kind: load.KindReturn, Percent: 35}, {Kind: load.KindLong, Percent: 5}}

// TestProveWholeAnswers spoils streams, crosses workspaces, and kills an entry during a long answer.
func TestProveWholeAnswers(t *testing.T) {
	sizes := proofSizes
	// With six engines a zone, a retry that isn't sent to the right one seldom meets it by chance.
	sizes.Engines = 18
	c := newCluster(t, sizes, nil)
	for i, e := range c.layout.Engines {
		c.fault(e.Address, model.Fault{Truncate: 0.15, Repeat: 0.15, Foreign: 0.15, Drop: 0.15, Seed: proofSeed() + uint64(i)})
	}
	r := c.runLoad(prompts, 400, proofSeed())
	for _, e := range c.layout.Engines {
		c.fault(e.Address, model.Fault{})
	}
	c.equalPrompts()
	before := c.engineStats()
	// The retry goes to an entry of the same zone, of another one, and of the third.
	for _, second := range []int{3, 1, 2} {
		c.killDuringAnswer(c.layout.Entries[second])
	}
	after := c.engineStats()
	if resumed := after.Resumed - before.Resumed; resumed < 3 {
		t.Errorf("%d of 3 answers were resumed, the others started again", resumed)
	}
	c.proved("whole answers to the right caller", 1, r.Attempts, fmt.Sprintf("%d answers with spoilt streams, %d engine requests, resumed %d", r.Answered, after.Requests, after.Resumed-before.Resumed))
}

// equalPrompts sends one prompt from every workspace at once, through every entry.
func (c *cluster) equalPrompts() {
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
				c.t.Errorf("workspace %s reused another's context", ws.Name)
			}
		})
	}
	wg.Wait()
}

// killDuringAnswer kills the entry that serves a long redraft; the caller's retry at another one must resume it.
func (c *cluster) killDuringAnswer(second layout.Entry) {
	first := c.layout.Entries[0]
	key := uuid.Must(uuid.NewV7()).String()
	ws := c.layout.Workspaces[0]
	chat := chatOf("a long redraft", 1500)
	time.AfterFunc(time.Second, func() { c.signal(first.Name, syscall.SIGKILL) })
	o := load.NewClient().Stream(context.Background(), load.Target{Address: first.Callers, APIKey: ws.Key, IdempotencyKey: key}, chat)
	if o.Code == load.CodeOK {
		c.t.Errorf("answer ended before the kill")
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
		c.t.Errorf("redraft after the kill: %+v", o)
	}
	c.restart(first.Name)
	c.waitReady(first)
}

// exposureTime bounds the prompts that are added until a store has served a bad block: the proof of nothing else would be empty.
const exposureTime = 30 * time.Second

// TestProveBlocks spoils stores in every way, swaps weights meanwhile, and judges by the stores' and engines' records.
func TestProveBlocks(t *testing.T) {
	c := newCluster(t, proofSizes, func(l *layout.Layout) {
		l.CachePieces = 7
		l.StoreBytes = 60 * int64(l.PieceBytes)
	})
	seed := proofSeed()
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
			c.spoilStores(random, step)
		}
	})
	returns := []load.KindShare{{Kind: load.KindReturn, Percent: 100}}
	r := c.runLoad(returns, 300, seed)
	status, body := c.submit(c.entry(1), deploymentSwap(c, 2, "v2"))
	if status != 200 {
		t.Fatalf("swap: %d %s", status, body)
	}
	second := c.runLoad(returns, 300, seed)
	answered := r.Answered + second.Answered
	// Whether a read meets a store in its careless moments is chance: five times a run on average. Prompts return until one has.
	for deadline := time.Now().Add(exposureTime); c.storeStats().Careless == 0 && time.Now().Before(deadline); {
		answered += c.runLoad(returns, 300, seed).Answered
	}
	close(done)
	wg.Wait()
	engines, stores := c.engineStats(), c.storeStats()
	if stores.Careless > engines.BadBlocks {
		t.Errorf("stores served %d bad blocks, engines rejected %d", stores.Careless, engines.BadBlocks)
	}
	if stores.Careless == 0 || engines.Fetched == 0 {
		t.Errorf("too little happened: %d bad blocks served, %d tokens fetched", stores.Careless, engines.Fetched)
	}
	c.proved("no freed, partial or foreign block is read", 1, answered,
		fmt.Sprintf("%d reads, %d refused by generation, %d bad blocks served and %d rejected, %d writes, %d times full",
			stores.Reads, stores.Refused, stores.Careless, engines.BadBlocks, stores.Writes, stores.Full))
}

func (c *cluster) spoilStores(random *rand.Rand, step int) {
	s := c.layout.Stores[step%len(c.layout.Stores)]
	c.fault(s.Address, depot.Fault{Careless: true, Lose: 12})
	switch random.IntN(6) {
	case 0:
		c.fault(s.Address, depot.Fault{Dead: true})
	case 1:
		c.fault(s.Address, depot.Fault{Restart: true, Careless: true, Lose: 3})
	case 2:
		c.fault(s.Address, depot.Fault{Corrupt: true})
	case 3, 4:
		c.fault(s.Address, depot.Fault{Careless: true})
		if random.IntN(2) == 0 {
			// The store's owner is frozen across whatever is freed meanwhile.
			e := c.entry(random.IntN(6))
			c.signal(e.Name, syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			c.signal(e.Name, syscall.SIGCONT)
		}
	case 5:
		c.fault(s.Address, depot.Fault{})
	}
}
