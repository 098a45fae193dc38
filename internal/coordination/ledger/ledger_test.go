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

// service is a small key-value service that loses replies and goes out.
type service struct {
	mu     sync.Mutex
	random *rand.Rand
	values map[string]kv.Value
	lose   float64

	writes, conflicts int
}

func newService(seed uint64, lose float64) *service {
	return &service{random: rand.New(rand.NewPCG(seed, seed)), values: make(map[string]kv.Value), lose: lose}
}

func (s *service) Get(_ context.Context, key string) (kv.Value, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.lose {
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
	if s.random.Float64() < s.lose/2 {
		return 0, kv.ErrUnavailable
	}
	if s.values[key].Version != version {
		s.conflicts++
		return 0, kv.ErrConflict
	}
	s.values[key] = kv.Value{Data: data, Version: version + 1}
	s.writes++
	if s.random.Float64() < s.lose {
		return 0, kv.ErrUnavailable
	}
	return version + 1, nil
}

// cluster is some books on one service, whose claims go to one writer or to their own.
type cluster struct {
	mu         sync.Mutex
	books      []*ledger.AttemptRegistry
	committers []*ledger.Committer
	random     *rand.Rand
	lose       float64
	dead       map[string]bool
}

// Inquire asks a holder in the cluster; a dead one is known to be gone.
func (c *cluster) Inquire(ctx context.Context, holder string, nonce claim.Nonce) (ledger.AttemptReport, error) {
	c.mu.Lock()
	dead := c.dead[holder]
	lost := c.random.Float64() < c.lose
	c.mu.Unlock()
	if dead {
		return ledger.AttemptReport{}, ledger.ErrHolderGone
	}
	if lost {
		return ledger.AttemptReport{}, errors.New("inquiry lost")
	}
	for _, b := range c.books {
		if b.Self == holder {
			return b.Inquire(ctx, nonce), nil
		}
	}
	return ledger.AttemptReport{}, ledger.ErrHolderGone
}

// writer forwards to the first committer; a lost reply goes to the own one, as in operation.
type writer struct {
	cluster *cluster
	own     int
}

func (w *writer) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	result, err := w.cluster.committers[0].Submit(ctx, op)
	w.cluster.mu.Lock()
	lost := w.cluster.random.Float64() < w.cluster.lose
	w.cluster.mu.Unlock()
	if err == nil && !lost {
		return result, nil
	}
	return w.cluster.committers[w.own].Submit(ctx, op)
}

func newCluster(ctx context.Context, n int, s *service, seed uint64, lose float64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 99)), lose: lose, dead: make(map[string]bool)}
	for i := range n {
		committer := ledger.NewCommitter(s)
		c.committers = append(c.committers, committer)
		go committer.Run(ctx)
		c.books = append(c.books, ledger.NewAttemptRegistry(fmt.Sprintf("e%d#1", i), &writer{c, i}, c))
	}
	return c
}

func newKey(t *testing.T, random *rand.Rand) claim.Key {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	// Inside the bubble the clock is not the one that the library reads, so the birth is set by hand.
	return claim.Key{Digest: claim.DigestOf(id.String(), fmt.Sprint(random.Uint64())), Timestamp: time.Now()}
}

// effects counts runs by key.
type effects struct {
	mu    sync.Mutex
	count map[claim.Digest]int
}

func (e *effects) run(key claim.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[key]++
}

// TestAtMostOnce lets callers retry for ever at random books while replies and inquiries are lost.
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
	ran := &effects{count: make(map[claim.Digest]int)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	for caller := range 40 {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		key := newKey(t, random)
		for range 2 {
			// Two copies of one caller race with one key.
			twin := rand.New(rand.NewPCG(random.Uint64(), 1))
			wg.Go(func() {
				end := retry(ctx, c, key, twin, ran)
				mu.Lock()
				ends[end]++
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	for key, n := range ran.count {
		if n > 1 {
			t.Errorf("key %x ran %d times", key, n)
		}
	}
	if len(ran.count) != 40 || ends["done"] != 80 {
		t.Errorf("%d keys of 40 ran; ends %v", len(ran.count), ends)
	}
	for _, b := range c.books {
		b.Wait()
		if b.Size() != 0 {
			t.Errorf("%s keeps %d attempts", b.Self, b.Size())
		}
	}
}

// retry is a caller that never gives up.
func retry(ctx context.Context, c *cluster, key claim.Key, random *rand.Rand, ran *effects) string {
	for range 400 {
		book := c.books[random.IntN(len(c.books))]
		tryCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		d, err := book.Claim(tryCtx, key, claim.Digest{7})
		cancel()
		switch {
		case err == nil && d.Outcome != nil:
			return "done"
		case err == nil && random.Float64() < 0.2:
			book.Release(d.Attempt)
		case err == nil:
			ran.run(key.Digest)
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			book.Finish(d.Attempt, claim.Outcome{Code: 200})
			return "done"
		case errors.Is(err, ledger.ErrUnknown):
			return "unknown"
		}
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
	}
	return "gave up"
}

// TestDeadHolder checks that a claim whose holder has died is never run again.
func TestDeadHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 2, newService(1, 0), 1, 0)
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.books[0].Claim(ctx, key, claim.Digest{})
		if err != nil || d.Attempt == nil {
			t.Fatalf("first claim: %+v, %v", d, err)
		}
		c.dead[c.books[0].Self] = true
		if _, err := c.books[1].Claim(ctx, key, claim.Digest{}); !errors.Is(err, ledger.ErrUnknown) {
			t.Errorf("claim after death: %v", err)
		}
	})
}

// TestPausedClaim checks that a claim that is granted after its caller's patience starts nothing.
func TestPausedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 1, newService(1, 0), 1, 0)
		slow := ledger.NewAttemptRegistry("slow#1", slowWriter{c.committers[0]}, c)
		c.books = append(c.books, slow)
		deadline := &frozenContext{Context: ctx, deadline: time.Now().Add(time.Second)}
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		if d, err := slow.Claim(deadline, key, claim.Digest{}); !errors.Is(err, ledger.ErrNotRun) {
			t.Errorf("late grant: %+v, %v", d, err)
		}
		if d, err := c.books[0].Claim(ctx, key, claim.Digest{}); err != nil || d.Attempt == nil {
			t.Errorf("takeover of the burnt claim: %+v, %v", d, err)
		}
	})
}

// slowWriter takes longer than any caller waits, as a paused process does.
type slowWriter struct{ ledger.Writer }

func (w slowWriter) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	time.Sleep(5 * time.Second)
	return w.Writer.Submit(ctx, op)
}

// frozenContext has a deadline whose timer has not fired, as in a process that has just thawed.
type frozenContext struct {
	context.Context
	deadline time.Time
}

func (c *frozenContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestWritesPerClaim measures the group commit in virtual time: 300 claims a second for 10 s through one writer.
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
			book := c.books[i%len(c.books)]
			wg.Go(func() {
				d, err := book.Claim(ctx, key, claim.Digest{})
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(10 * time.Millisecond)
				book.Finish(d.Attempt, claim.Outcome{Code: 200, Body: make([]byte, 100)})
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		for _, b := range c.books {
			b.Wait()
		}
		perClaim := float64(s.writes) / (rate * seconds)
		t.Logf("%d writes for %d claims: %.3f a claim, %.0f a second, %d conflicts", s.writes, rate*seconds, perClaim, float64(s.writes)/seconds, s.conflicts)
		if perClaim > 0.25 {
			t.Errorf("%.3f writes a claim, more than 0.25", perClaim)
		}
	})
}

// claimsOnly can't write outcomes, as while the service is out.
type claimsOnly struct {
	ledger.Writer
	out *atomic.Bool
}

func (w claimsOnly) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	if op.Kind != claim.OpClaim && w.out.Load() {
		time.Sleep(100 * time.Millisecond)
		return claim.Result{}, kv.ErrUnavailable
	}
	return w.Writer.Submit(ctx, op)
}

// TestUnwrittenOutcome checks that a claim isn't taken over between its run and its outcome's write.
func TestUnwrittenOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 2, newService(1, 0), 1, 0)
		var out atomic.Bool
		out.Store(true)
		c.books[0].Writer = claimsOnly{c.committers[0], &out}
		key := newKey(t, rand.New(rand.NewPCG(1, 1)))
		d, err := c.books[0].Claim(ctx, key, claim.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		c.books[0].Finish(d.Attempt, claim.Outcome{Code: 201})
		time.Sleep(time.Second)
		other, err := c.books[1].Claim(ctx, key, claim.Digest{})
		if err != nil || other.Outcome == nil || other.Outcome.Code != 201 {
			t.Errorf("claim before the outcome is written: %+v, %v", other, err)
		}
		out.Store(false)
		c.books[0].Wait()
	})
}
