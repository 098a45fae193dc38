package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/ledger"
	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/kv"
)

// service is an in-memory key-value service that loses requests and replies at random.
type service struct {
	mu       sync.Mutex
	random   *rand.Rand
	values   map[string]kv.Value
	lossRate float64

	writes, conflicts int
}

func newService(seed uint64, lossRate float64) *service {
	return &service{random: rand.New(rand.NewPCG(seed, seed)), values: make(map[string]kv.Value), lossRate: lossRate}
}

func (s *service) Get(_ context.Context, key string) (kv.Value, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.lossRate {
		return kv.Value{}, kv.ErrUnavailable
	}
	v, ok := s.values[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return v, nil
}

func (s *service) Put(_ context.Context, key string, data []byte, version kv.Version) (kv.Version, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.lossRate/2 {
		return 0, kv.ErrUnavailable
	}
	if s.values[key].Version != version {
		s.conflicts++
		return 0, kv.ErrConflict
	}
	s.values[key] = kv.Value{Data: data, Version: version + 1}
	s.writes++
	if s.random.Float64() < s.lossRate {
		return 0, kv.ErrUnavailable
	}
	return version + 1, nil
}

// cluster is a set of processes with one attempt registry and one committer each, all on one key-value service.
type cluster struct {
	mu         sync.Mutex
	registries []*ledger.AttemptRegistry
	committers []*ledger.Committer
	random     *rand.Rand
	lossRate   float64
	dead       map[string]bool
}

// Inquire queries a holder in the cluster. A dead holder is known to be gone.
func (c *cluster) Inquire(ctx context.Context, holder string, nonce claim.Nonce) (ledger.AttemptReport, error) {
	c.mu.Lock()
	dead := c.dead[holder]
	lost := c.random.Float64() < c.lossRate
	c.mu.Unlock()
	if dead {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	if lost {
		return ledger.AttemptReport{}, errors.New("inquiry lost")
	}
	for _, reg := range c.registries {
		if reg.Self == holder {
			return reg.Inquire(ctx, nonce), nil
		}
	}
	return ledger.AttemptReport{}, ledger.ErrHolderGone
}

// writer forwards changes to the first committer, and falls back to its own committer if the reply is lost, as in production.
type writer struct {
	cluster *cluster
	own     int
}

func (w *writer) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	result, err := w.cluster.committers[0].Submit(ctx, op)
	w.cluster.mu.Lock()
	lost := w.cluster.random.Float64() < w.cluster.lossRate
	w.cluster.mu.Unlock()
	if err == nil && !lost {
		return result, nil
	}
	return w.cluster.committers[w.own].Submit(ctx, op)
}

func newCluster(ctx context.Context, n int, s *service, seed uint64, lossRate float64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 99)), lossRate: lossRate, dead: make(map[string]bool)}
	for i := range n {
		committer := ledger.NewCommitter(s)
		c.committers = append(c.committers, committer)
		go committer.Run(ctx)
		c.registries = append(c.registries, ledger.NewAttemptRegistry(fmt.Sprintf("e%d#1", i), &writer{c, i}, c))
	}
	return c
}

func newKey(t *testing.T, random *rand.Rand) claim.Key {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	// The UUID library doesn't read the synctest clock, so Timestamp is set explicitly.
	return claim.Key{Digest: claim.DigestOf(id.String(), fmt.Sprint(random.Uint64())), Timestamp: time.Now()}
}

// effects counts the runs of each key.
type effects struct {
	mu    sync.Mutex
	count map[claim.Digest]int
}

func (e *effects) run(key claim.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[key]++
}

// TestAtMostOnce checks that no key runs twice while callers keep retrying at random instances and replies and inquiries are lost.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { atMostOnce(t, seed) })
		})
	}
}

func atMostOnce(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newService(seed, 0.2)
	c := newCluster(ctx, 4, s, seed, 0.2)
	runs := &effects{count: make(map[claim.Digest]int)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	for caller := range 40 {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		key := newKey(t, random)
		for range 2 {
			// Two concurrent callers use the same key.
			source := rand.New(rand.NewPCG(random.Uint64(), 1))
			wg.Go(func() {
				result := retry(ctx, c, key, source, runs)
				mu.Lock()
				results[result]++
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	for key, n := range runs.count {
		if n > 1 {
			t.Errorf("key %x ran %d times", key, n)
		}
	}
	if len(runs.count) != 40 || results["done"] != 80 {
		t.Errorf("%d keys of 40 ran; results %v", len(runs.count), results)
	}
	for _, reg := range c.registries {
		reg.Wait()
		if reg.Size() != 0 {
			t.Errorf("%s still has %d attempts registered", reg.Self, reg.Size())
		}
	}
}

// retry claims and runs a key, and retries until the key is done.
func retry(ctx context.Context, c *cluster, key claim.Key, random *rand.Rand, runs *effects) string {
	for range 400 {
		registry := c.registries[random.IntN(len(c.registries))]
		tryCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		d, err := registry.Claim(tryCtx, key, claim.Digest{7})
		cancel()
		switch {
		case err == nil && d.Outcome != nil:
			return "done"
		case err == nil && random.Float64() < 0.2:
			registry.Release(d.Attempt)
		case err == nil:
			runs.run(key.Digest)
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			registry.Finish(d.Attempt, claim.Outcome{Code: 200})
			return "done"
		case errors.Is(err, ledger.ErrUnknown):
			return "unknown"
		}
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
	}
	return "gave up"
}

// TestDeadHolder checks that a request is not run again after the holder of its claim has died.
func TestDeadHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 2, newService(1, 0), 1, 0)
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.registries[0].Claim(ctx, key, claim.Digest{})
		if err != nil || d.Attempt == nil {
			t.Fatalf("first claim: %+v, %v", d, err)
		}
		c.dead[c.registries[0].Self] = true
		if _, err := c.registries[1].Claim(ctx, key, claim.Digest{}); !errors.Is(err, ledger.ErrUnknown) {
			t.Errorf("claim after the holder's death: %v", err)
		}
	})
}

// TestPausedClaim checks that a claim which is granted after its caller's deadline, as after a pause of the process, does not run.
func TestPausedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 1, newService(1, 0), 1, 0)
		slow := ledger.NewAttemptRegistry("slow#1", slowWriter{c.committers[0]}, c)
		c.registries = append(c.registries, slow)
		deadline := &frozenContext{Context: ctx, deadline: time.Now().Add(time.Second)}
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		if d, err := slow.Claim(deadline, key, claim.Digest{}); !errors.Is(err, ledger.ErrNotRun) {
			t.Errorf("late grant: %+v, %v", d, err)
		}
		if d, err := c.registries[0].Claim(ctx, key, claim.Digest{}); err != nil || d.Attempt == nil {
			t.Errorf("takeover of the invalidated claim: %+v, %v", d, err)
		}
	})
}

// slowWriter delays writes beyond the deadline of any caller, like a paused process.
type slowWriter struct{ ledger.Writer }

func (w slowWriter) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	time.Sleep(5 * time.Second)
	return w.Writer.Submit(ctx, op)
}

// frozenContext has a deadline whose timer never fires, as in a process that has just resumed.
type frozenContext struct {
	context.Context
	deadline time.Time
}

func (c *frozenContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestWritesPerClaim bounds the writes per claim with group commit: 300 claims per second for 10 s of virtual time through one writer.
func TestWritesPerClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, seconds = 300, 10
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newService(1, 0)
		c := newCluster(ctx, 6, s, 1, 0)
		var wg sync.WaitGroup
		random := rand.New(rand.NewPCG(3, 3))
		for i := range rate * seconds {
			key := newKey(t, random)
			registry := c.registries[i%len(c.registries)]
			wg.Go(func() {
				d, err := registry.Claim(ctx, key, claim.Digest{})
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(10 * time.Millisecond)
				registry.Finish(d.Attempt, claim.Outcome{Code: 200, Body: make([]byte, 100)})
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		for _, reg := range c.registries {
			reg.Wait()
		}
		perClaim := float64(s.writes) / (rate * seconds)
		t.Logf("%d writes for %d claims: %.3f per claim, %.0f per second, %d conflicts", s.writes, rate*seconds, perClaim, float64(s.writes)/seconds, s.conflicts)
		if perClaim > 0.25 {
			t.Errorf("%.3f writes per claim, more than 0.25", perClaim)
		}
	})
}

// claimsOnly fails to write outcomes and releases during an outage, but still writes claims.
type claimsOnly struct {
	ledger.Writer
	outage *atomic.Bool
}

func (w claimsOnly) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	if op.Kind != claim.OpClaim && w.outage.Load() {
		time.Sleep(100 * time.Millisecond)
		return claim.Result{}, kv.ErrUnavailable
	}
	return w.Writer.Submit(ctx, op)
}

// TestUnwrittenOutcome checks that a claim can't be taken over after its request ran and before its outcome is written.
func TestUnwrittenOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 2, newService(1, 0), 1, 0)
		var outage atomic.Bool
		outage.Store(true)
		c.registries[0].Writer = claimsOnly{c.committers[0], &outage}
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.registries[0].Claim(ctx, key, claim.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		c.registries[0].Finish(d.Attempt, claim.Outcome{Code: 201})
		time.Sleep(time.Second)
		other, err := c.registries[1].Claim(ctx, key, claim.Digest{})
		if err != nil || other.Outcome == nil || other.Outcome.Code != 201 {
			t.Errorf("claim before the outcome is written: %+v, %v", other, err)
		}
		outage.Store(false)
		c.registries[0].Wait()
	})
}

// TestOutcomeHiddenByCachedPage checks that a writer whose cached page shows a claim as held finds the outcome that another writer has
// stored since, although the holder has stopped.
func TestOutcomeHiddenByCachedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 2, newService(1, 0), 1, 0)
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.registries[0].Claim(ctx, key, claim.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		c.registries[0].Writer = c.committers[1]
		c.registries[0].Finish(d.Attempt, claim.Outcome{Code: 201})
		c.registries[0].Wait()
		c.dead[c.registries[0].Self] = true
		other, err := c.registries[1].Claim(ctx, key, claim.Digest{})
		if err != nil || other.Outcome == nil || other.Outcome.Code != 201 {
			t.Errorf("claim after the outcome was stored: %+v, %v", other, err)
		}
	})
}

// TestHeldClaimDuringOutage checks that the outcome of a held claim still comes from its holder while the key-value service is down.
func TestHeldClaimDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newService(1, 0)
		setLossRate := func(rate float64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lossRate = rate
		}
		c := newCluster(ctx, 2, s, 1, 0)
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.registries[0].Claim(ctx, key, claim.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		setLossRate(2)
		var finished sync.WaitGroup
		finished.Go(func() {
			time.Sleep(time.Second)
			c.registries[0].Finish(d.Attempt, claim.Outcome{Code: 201})
		})
		other, err := c.registries[1].Claim(ctx, key, claim.Digest{})
		if err != nil || other.Outcome == nil || other.Outcome.Code != 201 {
			t.Errorf("claim during the outage: %+v, %v", other, err)
		}
		setLossRate(0)
		finished.Wait()
		c.registries[0].Wait()
	})
}
