package claim

import "time"

// OpKind is the type of a change to a page.
type OpKind uint8

// Kinds of changes.
const (
	// OpClaim claims an absent or released key, or one whose nonce is burnt.
	OpClaim OpKind = iota + 1
	// OpRelease says that the claimed request did not start and never will under this nonce.
	OpRelease
	// OpFinish records the outcome of a claimed request.
	OpFinish
)

// Op is one change that a page's writer is asked to make.
type Op struct {
	Kind      OpKind
	Key       Digest
	Timestamp time.Time
	Request   Digest
	Holder    string
	Nonce     Nonce
	// Invalidated is the nonce that its holder has declared dead, if HasBurnt is set.
	Invalidated    Nonce
	HasInvalidated bool
	Outcome        *Outcome
}

// PageID returns the page that the change goes to.
func (o *Op) PageID() PageID { return PageOf(Key{Digest: o.Key, Timestamp: o.Timestamp}) }

// Verdict is the result of one change.
type Verdict uint8

// Verdicts.
const (
	// VerdictGranted says that the record carries the change's nonce and state.
	VerdictGranted Verdict = iota + 1
	// VerdictHeld says that another nonce holds the claim.
	VerdictHeld
	// VerdictDone says that the request has an outcome.
	VerdictDone
	// VerdictMismatch says that the key was claimed for another request.
	VerdictMismatch
	// VerdictFull says that the page takes no further records.
	VerdictFull
	// VerdictNotHolder says that the record no longer carries the change's nonce.
	VerdictNotHolder
)

// Result is the verdict on one change and the record that it met.
type Result struct {
	Verdict Verdict
	Record  Record
}

// Apply makes a change if the rules of the ledger allow it, and reports whether the page differs from before.
func (p *Page) Apply(op *Op) (Result, bool) {
	r := p.Find(op.Key)
	if op.Kind == OpClaim {
		return p.claim(op, r)
	}
	return p.settle(op, r)
}

func (p *Page) claim(op *Op, r *Record) (Result, bool) {
	if r == nil {
		return p.admit(op)
	}
	if r.Request != op.Request {
		return Result{Verdict: VerdictMismatch, Record: *r}, false
	}
	if r.Status == StatusDone {
		return Result{Verdict: VerdictDone, Record: *r}, false
	}
	if r.Status == StatusClaimed && r.Nonce == op.Nonce {
		// A lost reply: the write had taken effect.
		return Result{Verdict: VerdictGranted, Record: *r}, false
	}
	free := r.Status == StatusReleased && r.Nonce != op.Nonce
	burnt := r.Status == StatusClaimed && op.HasInvalidated && r.Nonce == op.Invalidated
	if !free && !burnt {
		return Result{Verdict: VerdictHeld, Record: *r}, false
	}
	return p.write(op), true
}

func (p *Page) admit(op *Op) (Result, bool) {
	if len(p.Records) >= MaxRecords {
		return Result{Verdict: VerdictFull}, false
	}
	return p.write(op), true
}

func (p *Page) write(op *Op) Result {
	r := Record{Key: op.Key, Request: op.Request, Holder: op.Holder, Nonce: op.Nonce, Status: StatusClaimed}
	p.put(r)
	return Result{Verdict: VerdictGranted, Record: r}
}

// settle closes a claim; only the nonce that holds it may do so.
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
