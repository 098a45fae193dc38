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

// Writer makes changes to pages, here or at the shard's preferred writer.
type Writer interface {
	// Submit makes a change; any error leaves its effect unknown.
	Submit(ctx context.Context, op claim.Op) (claim.Result, error)
}

// HolderClient asks the process that holds a claim about it.
type HolderClient interface {
	// Inquire waits for the claim's end at its holder until the context ends.
	Inquire(ctx context.Context, holder string, nonce claim.Nonce) (AttemptReport, error)
}

// AttemptState is what a holder knows of one of its nonces.
type AttemptState uint8

// Fates.
const (
	// AttemptRunning says that the attempt has not ended.
	AttemptRunning AttemptState = iota + 1
	// AttemptInvalidated says that nothing runs under the nonce and nothing ever will.
	AttemptInvalidated
	// AttemptDone says that the attempt has an outcome.
	AttemptDone
)

// AttemptReport is a holder's answer.
type AttemptReport struct {
	State   AttemptState
	Outcome *claim.Outcome
}

// Errors of claims, matched with errors.Is.
var (
	// ErrMismatch says that the key was used for another request; this one did not run.
	ErrMismatch = errors.New("idempotency key was used for another request")
	// ErrNotRun says that no attempt with the key has run, and that this one will not.
	ErrNotRun = errors.New("request not run")
	// ErrUnavailable says that this attempt did not run, but that no page told whether an earlier one with the key did.
	ErrUnavailable = errors.New("ledger can't be reached")
	// ErrRunning says that another attempt with the key has not ended.
	ErrRunning = errors.New("request with this key still running")
	// ErrUnknown says that nobody knows whether an earlier attempt with the key ran.
	ErrUnknown = errors.New("outcome of an earlier attempt unknown")
	// ErrHolderGone says that the process that held a claim has ended.
	ErrHolderGone = errors.New("holder of the claim is gone")
)

// Attempt is one run of a claimed request; it is in the book until its end is on a page.
type Attempt struct {
	Key     claim.Key
	Request claim.Digest
	Nonce   claim.Nonce

	opened  time.Time
	ended   chan struct{}
	outcome *claim.Outcome
}

// Decision is what to do with a request: run the attempt, or repeat the outcome of an earlier one.
type Decision struct {
	Attempt *Attempt
	Outcome *claim.Outcome
}

const (
	takeoverLimit = 3
	finishPause   = 200 * time.Millisecond
	// startMargin is the time that must remain for an attempt to start, so that it doesn't outlive its caller's patience.
	startMargin = 50 * time.Millisecond
	// slowClaim is the time after which a claim is taken to have been held up by a pause.
	slowClaim = 300 * time.Millisecond
	hearTime  = 10 * time.Millisecond
)

// AttemptRegistry holds the attempts of this process; a nonce that is not in it is burnt.
type AttemptRegistry struct {
	Self    string
	Writer  Writer
	Holders HolderClient

	mu      sync.Mutex
	byNonce map[claim.Nonce]*Attempt
	byKey   map[claim.Digest]*Attempt
	settles sync.WaitGroup
}

// NewAttemptRegistry returns an empty book of the incarnation self.
func NewAttemptRegistry(self string, w Writer, h HolderClient) *AttemptRegistry {
	return &AttemptRegistry{
		Self:    self,
		Writer:  w,
		Holders: h,
		byNonce: make(map[claim.Nonce]*Attempt),
		byKey:   make(map[claim.Digest]*Attempt),
	}
}

// Claim decides on a request with a key; an error is ErrMismatch, ErrNotRun, ErrUnavailable, ErrRunning or ErrUnknown.
func (b *AttemptRegistry) Claim(ctx context.Context, key claim.Key, request claim.Digest) (Decision, error) {
	a, own := b.open(key, request)
	if !own {
		return b.join(ctx, a, request)
	}
	d, err := b.acquire(ctx, a)
	if d.Attempt == nil {
		b.burn(a)
	}
	return d, err
}

// acquire claims until it is granted or refused, taking over from holders that have burnt their nonce.
func (b *AttemptRegistry) acquire(ctx context.Context, a *Attempt) (Decision, error) {
	op := claim.Op{Kind: claim.OpClaim, Key: a.Key.Digest, Timestamp: a.Key.Timestamp, Request: a.Request, Holder: b.Self, Nonce: a.Nonce}
	for range takeoverLimit {
		result, err := b.Writer.Submit(ctx, op)
		if err != nil {
			// The nonce is burnt by the caller of acquire, so a write that still lands can't start anything.
			return Decision{}, fmt.Errorf("claim (%v): %w", err, ErrUnavailable)
		}
		switch result.Verdict {
		case claim.VerdictGranted:
			return b.granted(ctx, a)
		case claim.VerdictDone:
			return Decision{Outcome: result.Record.Outcome}, nil
		case claim.VerdictMismatch:
			return Decision{}, fmt.Errorf("claim: %w", ErrMismatch)
		case claim.VerdictFull:
			return Decision{}, fmt.Errorf("claim, page full: %w", ErrNotRun)
		}
		report, err := b.ask(ctx, &result.Record)
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

// granted checks the key's age and the deadline once more, since this process may have been paused before the write.
func (b *AttemptRegistry) granted(ctx context.Context, a *Attempt) (Decision, error) {
	if err := a.Key.CheckAge(time.Now()); err != nil {
		return Decision{}, fmt.Errorf("claim granted late (%v): %w", err, ErrNotRun)
	}
	if time.Since(a.opened) > slowClaim {
		// A paused process may run before it hears that its caller has gone; its sockets are read by then.
		time.Sleep(hearTime)
	}
	// A thawed process may run before its timers do, so the clock decides and not the context alone.
	deadline, bounded := ctx.Deadline()
	if ctx.Err() != nil || bounded && time.Until(deadline) < startMargin {
		return Decision{}, fmt.Errorf("claim granted late: %w", ErrNotRun)
	}
	return Decision{Attempt: a}, nil
}

func (b *AttemptRegistry) ask(ctx context.Context, r *claim.Record) (AttemptReport, error) {
	if r.Holder == b.Self {
		return b.Inquire(ctx, r.Nonce), nil
	}
	report, err := b.Holders.Inquire(ctx, r.Holder, r.Nonce)
	if errors.Is(err, ErrHolderGone) {
		return AttemptReport{}, fmt.Errorf("ask holder %s: %w", r.Holder, ErrUnknown)
	}
	if err != nil || report.State == AttemptRunning {
		return AttemptReport{}, fmt.Errorf("ask holder %s (%v): %w", r.Holder, err, ErrRunning)
	}
	return report, nil
}

// Inquire reports the fate of one of this process's nonces, and waits for its end until the context ends.
func (b *AttemptRegistry) Inquire(ctx context.Context, nonce claim.Nonce) AttemptReport {
	b.mu.Lock()
	a := b.byNonce[nonce]
	b.mu.Unlock()
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

// join waits for an attempt of this process with the same key.
func (b *AttemptRegistry) join(ctx context.Context, a *Attempt, request claim.Digest) (Decision, error) {
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

// Finish records the outcome of an attempt that started; the page follows in the background.
func (b *AttemptRegistry) Finish(a *Attempt, outcome claim.Outcome) {
	a.outcome = &outcome
	close(a.ended)
	b.settles.Add(1)
	go b.settle(a)
}

// Release gives back an attempt that did not start and burns its nonce.
func (b *AttemptRegistry) Release(a *Attempt) {
	b.burn(a)
	b.settles.Add(1)
	go func() {
		defer b.settles.Done()
		ctx, cancel := context.WithTimeout(context.Background(), commitBudget)
		defer cancel()
		// A release that gets lost costs the next caller one question to this process.
		_, _ = b.Writer.Submit(ctx, b.op(a, claim.OpRelease))
	}()
}

// Wait returns when every outcome is on its page or has become pointless, for a graceful stop.
func (b *AttemptRegistry) Wait() { b.settles.Wait() }

// Size returns the number of attempts in the book.
func (b *AttemptRegistry) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byNonce)
}

// settle writes an outcome until it is on its page; the attempt stays in the book until then, so that its nonce isn't burnt.
func (b *AttemptRegistry) settle(a *Attempt) {
	defer b.settles.Done()
	op := b.op(a, claim.OpFinish)
	for a.Key.CheckAge(time.Now()) == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*commitBudget)
		result, err := b.Writer.Submit(ctx, op)
		cancel()
		if err == nil && result.Verdict != claim.VerdictFull {
			break
		}
		time.Sleep(finishPause)
	}
	b.forget(a)
}

func (b *AttemptRegistry) op(a *Attempt, kind claim.OpKind) claim.Op {
	return claim.Op{Kind: kind, Key: a.Key.Digest, Timestamp: a.Key.Timestamp, Request: a.Request, Holder: b.Self, Nonce: a.Nonce, Outcome: a.outcome}
}

func (b *AttemptRegistry) open(key claim.Key, request claim.Digest) (a *Attempt, own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.byKey[key.Digest]; a != nil {
		return a, false
	}
	a = &Attempt{Key: key, Request: request, opened: time.Now(), ended: make(chan struct{})}
	// Read never returns an error.
	_, _ = rand.Read(a.Nonce[:])
	b.byKey[key.Digest] = a
	b.byNonce[a.Nonce] = a
	return a, true
}

// burn ends an attempt without an outcome; whoever asks for its nonce from now on learns that it is burnt.
func (b *AttemptRegistry) burn(a *Attempt) {
	b.forget(a)
	close(a.ended)
}

func (b *AttemptRegistry) forget(a *Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byNonce, a.Nonce)
	if b.byKey[a.Key.Digest] == a {
		delete(b.byKey, a.Key.Digest)
	}
}
