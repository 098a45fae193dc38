package ledger

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/claim"
)

// Writer applies changes to ledger pages, either in this process or at the shard's preferred writer.
type Writer interface {
	// Submit applies a change. After an error, the change may or may not have taken effect.
	Submit(ctx context.Context, op claim.Op) (claim.Result, error)
}

// HolderClient queries the process that holds a claim.
type HolderClient interface {
	// Inquire asks the holder for the state of the attempt, and waits for the attempt to end until the context is done.
	Inquire(ctx context.Context, holder string, nonce claim.Nonce) (AttemptReport, error)
}

// AttemptState is the state of an attempt, as reported by the process that holds its claim.
type AttemptState uint8

// States of an attempt.
const (
	// AttemptRunning means that the attempt has not ended.
	AttemptRunning AttemptState = iota + 1
	// AttemptInvalidated means that nothing is running under the nonce and nothing ever will.
	AttemptInvalidated
	// AttemptDone means that the attempt has an outcome.
	AttemptDone
)

// AttemptReport is a holder's reply to Inquire.
type AttemptReport struct {
	State   AttemptState `msgpack:"Fate"`
	Outcome *claim.Outcome
}

// Errors of claims, matched with errors.Is.
var (
	// ErrMismatch is returned when the key was used for a different request. This request did not run.
	ErrMismatch = errors.New("idempotency key was used for another request")
	// ErrNotRun is returned when no attempt with the key has run and this one will not run either.
	ErrNotRun = errors.New("request not run")
	// ErrUnavailable is returned when this attempt did not run and the ledger could not be read to tell whether an earlier attempt
	// with the key did.
	ErrUnavailable = errors.New("ledger can't be reached")
	// ErrRunning is returned when another attempt with the key has not ended.
	ErrRunning = errors.New("request with this key still running")
	// ErrUnknown is returned when it can't be determined whether an earlier attempt with the key ran.
	ErrUnknown = errors.New("outcome of an earlier attempt unknown")
	// ErrHolderGone is returned when the process that held the claim has exited.
	ErrHolderGone = errors.New("holder of the claim is gone")
)

// Attempt is one run of a claimed request. It stays registered until its outcome is stored on a page.
type Attempt struct {
	Key     claim.Key
	Request claim.Digest
	Nonce   claim.Nonce

	registeredAt time.Time
	ended        chan struct{}
	outcome      *claim.Outcome
}

// Decision is the result of Claim: either an attempt to run, or the outcome of an earlier attempt to replay.
type Decision struct {
	Attempt *Attempt
	Outcome *claim.Outcome
}

const (
	maxTakeovers         = 3
	outcomeRetryInterval = 200 * time.Millisecond
	// startMargin is the time that must remain before the deadline for an attempt to start. An attempt that starts later could
	// outlast the time that its caller waits.
	startMargin = 50 * time.Millisecond
	// pauseThreshold is the duration of a claim above which this process is assumed to have been paused.
	pauseThreshold = 300 * time.Millisecond
	// disconnectGrace is how long a resumed process waits, so that it learns from its sockets if the caller has disconnected.
	disconnectGrace = 10 * time.Millisecond
)

// AttemptRegistry registers the in-flight attempts of this process. A nonce that is not registered counts as invalidated.
type AttemptRegistry struct {
	Self    string
	Writer  Writer
	Holders HolderClient

	mu            sync.Mutex
	byNonce       map[claim.Nonce]*Attempt
	byKey         map[claim.Digest]*Attempt
	pendingWrites sync.WaitGroup
}

// NewAttemptRegistry returns an empty attempt registry for the process incarnation self.
func NewAttemptRegistry(self string, w Writer, h HolderClient) *AttemptRegistry {
	return &AttemptRegistry{
		Self:    self,
		Writer:  w,
		Holders: h,
		byNonce: make(map[claim.Nonce]*Attempt),
		byKey:   make(map[claim.Digest]*Attempt),
	}
}

// Claim decides whether a request with a key may run. Errors are ErrMismatch, ErrNotRun, ErrUnavailable, ErrRunning or ErrUnknown.
func (reg *AttemptRegistry) Claim(ctx context.Context, key claim.Key, request claim.Digest) (Decision, error) {
	a, created := reg.register(key, request)
	if !created {
		return reg.join(ctx, a, request)
	}
	d, err := reg.acquire(ctx, a)
	if d.Attempt == nil {
		reg.invalidate(a)
	}
	return d, err
}

// acquire submits the claim until it is granted or refused, and takes over claims whose holder has invalidated its nonce.
func (reg *AttemptRegistry) acquire(ctx context.Context, a *Attempt) (Decision, error) {
	op := claim.Op{Kind: claim.OpClaim, Key: a.Key.Digest, Timestamp: a.Key.Timestamp, Request: a.Request, Holder: reg.Self, Nonce: a.Nonce}
	for range maxTakeovers {
		result, err := reg.Writer.Submit(ctx, op)
		if err != nil {
			// The caller of acquire invalidates the nonce, so that nothing can start even if the write takes effect later.
			return Decision{}, fmt.Errorf("claim (%v): %w", err, ErrUnavailable)
		}
		switch result.Verdict {
		case claim.VerdictGranted:
			return reg.granted(ctx, a)
		case claim.VerdictDone:
			return Decision{Outcome: result.Record.Outcome}, nil
		case claim.VerdictMismatch:
			return Decision{}, fmt.Errorf("claim: %w", ErrMismatch)
		case claim.VerdictFull:
			return Decision{}, fmt.Errorf("claim, page full: %w", ErrNotRun)
		}
		report, err := reg.queryHolder(ctx, &result.Record)
		if err != nil {
			return Decision{}, fmt.Errorf("claim held: %w", err)
		}
		if report.State == AttemptDone {
			return Decision{Outcome: report.Outcome}, nil
		}
		op.Invalidated, op.HasInvalidated = result.Record.Nonce, true
	}
	return Decision{}, fmt.Errorf("claim contended: %w", ErrRunning)
}

// granted checks the key's age and the deadline again, since this process may have been paused before the write.
func (reg *AttemptRegistry) granted(ctx context.Context, a *Attempt) (Decision, error) {
	if err := a.Key.CheckAge(time.Now()); err != nil {
		return Decision{}, fmt.Errorf("claim granted late (%v): %w", err, ErrNotRun)
	}
	if time.Since(a.registeredAt) > pauseThreshold {
		// A process that resumes after a pause may get here before it has noticed that its caller disconnected. By the end of
		// the wait its sockets have been read.
		time.Sleep(disconnectGrace)
	}
	// After a pause, code may run before expired timers fire, so the context alone is not enough: check the clock too.
	deadline, bounded := ctx.Deadline()
	if ctx.Err() != nil || bounded && time.Until(deadline) < startMargin {
		return Decision{}, fmt.Errorf("claim granted late: %w", ErrNotRun)
	}
	return Decision{Attempt: a}, nil
}

func (reg *AttemptRegistry) queryHolder(ctx context.Context, r *claim.Record) (AttemptReport, error) {
	if r.Holder == reg.Self {
		return reg.Inquire(ctx, r.Nonce), nil
	}
	report, err := reg.Holders.Inquire(ctx, r.Holder, r.Nonce)
	if errors.Is(err, ErrHolderGone) {
		return AttemptReport{}, fmt.Errorf("query holder %s: %w", r.Holder, ErrUnknown)
	}
	if err != nil || report.State == AttemptRunning {
		return AttemptReport{}, fmt.Errorf("query holder %s (%v): %w", r.Holder, err, ErrRunning)
	}
	return report, nil
}

// Inquire reports the state of the attempt with one of this process's nonces. It waits for the attempt to end until the context is
// done.
func (reg *AttemptRegistry) Inquire(ctx context.Context, nonce claim.Nonce) AttemptReport {
	reg.mu.Lock()
	a := reg.byNonce[nonce]
	reg.mu.Unlock()
	if a == nil {
		return AttemptReport{State: AttemptInvalidated}
	}
	select {
	case <-a.ended:
		return a.report()
	case <-ctx.Done():
		return AttemptReport{State: AttemptRunning}
	}
}

func (a *Attempt) report() AttemptReport {
	if a.outcome == nil {
		return AttemptReport{State: AttemptInvalidated}
	}
	return AttemptReport{State: AttemptDone, Outcome: a.outcome}
}

// join waits for the outcome of an attempt in this process with the same key.
func (reg *AttemptRegistry) join(ctx context.Context, a *Attempt, request claim.Digest) (Decision, error) {
	if a.Request != request {
		return Decision{}, fmt.Errorf("join attempt: %w", ErrMismatch)
	}
	select {
	case <-a.ended:
	case <-ctx.Done():
		return Decision{}, fmt.Errorf("join attempt: %w", ErrRunning)
	}
	if a.outcome == nil {
		return Decision{}, fmt.Errorf("join attempt: %w", ErrUnavailable)
	}
	return Decision{Outcome: a.outcome}, nil
}

// Finish records the outcome of an attempt that started, and writes it to the page in the background.
func (reg *AttemptRegistry) Finish(a *Attempt, outcome claim.Outcome) {
	a.outcome = &outcome
	close(a.ended)
	reg.pendingWrites.Add(1)
	go reg.writeOutcome(a)
}

// Release invalidates the nonce of an attempt that did not start, and releases its claim in the background.
func (reg *AttemptRegistry) Release(a *Attempt) {
	reg.invalidate(a)
	reg.pendingWrites.Add(1)
	go func() {
		defer reg.pendingWrites.Done()
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		// If the release is lost, the next caller with the key queries this process once.
		_, _ = reg.Writer.Submit(ctx, reg.op(a, claim.OpRelease))
	}()
}

// Wait blocks until every outcome has been written to its page or its key has expired, and every release has been tried. It is used
// for a graceful stop.
func (reg *AttemptRegistry) Wait() { reg.pendingWrites.Wait() }

// Size returns the number of registered attempts.
func (reg *AttemptRegistry) Size() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.byNonce)
}

// writeOutcome retries the write of an outcome until it is on its page or the key has expired. The attempt stays registered until then,
// since other processes could take over its claim if its nonce counted as invalidated.
func (reg *AttemptRegistry) writeOutcome(a *Attempt) {
	defer reg.pendingWrites.Done()
	op := reg.op(a, claim.OpFinish)
	for a.Key.CheckAge(time.Now()) == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*commitTimeout)
		result, err := reg.Writer.Submit(ctx, op)
		cancel()
		if err == nil && result.Verdict != claim.VerdictFull {
			break
		}
		time.Sleep(outcomeRetryInterval)
	}
	reg.remove(a)
}

func (reg *AttemptRegistry) op(a *Attempt, kind claim.OpKind) claim.Op {
	return claim.Op{
		Kind: kind, Key: a.Key.Digest, Timestamp: a.Key.Timestamp, Request: a.Request, Holder: reg.Self, Nonce: a.Nonce, Outcome: a.outcome,
	}
}

func (reg *AttemptRegistry) register(key claim.Key, request claim.Digest) (a *Attempt, created bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if a := reg.byKey[key.Digest]; a != nil {
		return a, false
	}
	a = &Attempt{Key: key, Request: request, registeredAt: time.Now(), ended: make(chan struct{})}
	// Read never returns an error.
	_, _ = rand.Read(a.Nonce[:])
	reg.byKey[key.Digest] = a
	reg.byNonce[a.Nonce] = a
	return a, true
}

// invalidate ends an attempt without an outcome. From now on, Inquire reports its nonce as invalidated.
func (reg *AttemptRegistry) invalidate(a *Attempt) {
	reg.remove(a)
	close(a.ended)
}

func (reg *AttemptRegistry) remove(a *Attempt) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.byNonce, a.Nonce)
	if reg.byKey[a.Key.Digest] == a {
		delete(reg.byKey, a.Key.Digest)
	}
}
