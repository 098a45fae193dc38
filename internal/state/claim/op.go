package claim

import "time"

// OpKind is the type of a change to a page.
type OpKind uint8

// Kinds of changes.
const (
	// OpClaim claims a key that is absent, released, or held under an invalidated nonce.
	OpClaim OpKind = iota + 1
	// OpRelease releases a claim whose request did not start and never will under this nonce.
	OpRelease
	// OpFinish records the outcome of a claimed request.
	OpFinish
)

// Op is a change to a record, which the page's writer applies.
type Op struct {
	Kind      OpKind
	Key       Digest
	Timestamp time.Time `msgpack:"Born"`
	Request   Digest
	Holder    string
	Nonce     Nonce
	// Invalidated is the nonce that its holder has invalidated.
	Invalidated Nonce `msgpack:"Burnt"`
	// HasInvalidated is true if an invalidated nonce is given.
	HasInvalidated bool `msgpack:"HasBurnt"`
	Outcome        *Outcome
}

// PageID returns the page that the change applies to.
func (o *Op) PageID() PageID { return PageOf(Key{Digest: o.Key, Timestamp: o.Timestamp}) }

// Verdict states whether a change was granted, or why it was not.
type Verdict uint8

// Verdicts of changes.
const (
	// VerdictGranted means that the record has the change's nonce and state.
	VerdictGranted Verdict = iota + 1
	// VerdictHeld means that the claim can't be taken: another nonce holds it, or this nonce has been released.
	VerdictHeld
	// VerdictDone means that the request already has an outcome.
	VerdictDone
	// VerdictMismatch means that the key was claimed for another request.
	VerdictMismatch
	// VerdictFull means that the page has no room for another record.
	VerdictFull
	// VerdictNotHolder means that the record is absent or has another nonce than the change.
	VerdictNotHolder
)

// Result is the verdict on a change and the record after it. The record is empty if the page is full, or if the change would release or
// finish a claim that its nonce doesn't hold.
type Result struct {
	Verdict Verdict
	Record  Record
}

// Apply makes a change if the ledger's rules allow it, and reports whether the page was modified.
func (p *Page) Apply(op *Op) (Result, bool) {
	r := p.Find(op.Key)
	if op.Kind == OpClaim {
		return p.claim(op, r)
	}
	return p.settle(op, r)
}

func (p *Page) claim(op *Op, r *Record) (Result, bool) {
	if r == nil {
		return p.add(op)
	}
	if r.Request != op.Request {
		return Result{Verdict: VerdictMismatch, Record: *r}, false
	}
	if r.Status == StatusDone {
		return Result{Verdict: VerdictDone, Record: *r}, false
	}
	if r.Status == StatusClaimed && r.Nonce == op.Nonce {
		// The change was applied before, but its reply was lost.
		return Result{Verdict: VerdictGranted, Record: *r}, false
	}
	released := r.Status == StatusReleased && r.Nonce != op.Nonce
	invalidated := r.Status == StatusClaimed && op.HasInvalidated && r.Nonce == op.Invalidated
	if !released && !invalidated {
		return Result{Verdict: VerdictHeld, Record: *r}, false
	}
	return p.grant(op), true
}

func (p *Page) add(op *Op) (Result, bool) {
	if len(p.Records) >= MaxRecords {
		return Result{Verdict: VerdictFull}, false
	}
	return p.grant(op), true
}

func (p *Page) grant(op *Op) Result {
	r := Record{Key: op.Key, Request: op.Request, Holder: op.Holder, Nonce: op.Nonce, Status: StatusClaimed}
	p.put(r)
	return Result{Verdict: VerdictGranted, Record: r}
}

// settle releases or finishes a claim. Only the nonce that holds the claim may do so.
func (p *Page) settle(op *Op, r *Record) (Result, bool) {
	if r == nil || r.Nonce != op.Nonce {
		return Result{Verdict: VerdictNotHolder}, false
	}
	if r.Status != StatusClaimed {
		return Result{Verdict: VerdictGranted, Record: *r}, false
	}
	settled := *r
	settled.Status = StatusReleased
	if op.Kind == OpFinish {
		settled.Status = StatusDone
		settled.Outcome = op.Outcome
	}
	p.put(settled)
	return Result{Verdict: VerdictGranted, Record: settled}, true
}
