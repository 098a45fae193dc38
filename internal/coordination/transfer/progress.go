package transfer

import "time"

// Progress decides for how long a transfer may go on: it has to begin by a deadline and then to bring SliceBytes within each stall time, so that one
// that brings a byte now and then ends as well.
type Progress struct {
	// Deadline is when the transfer has stalled.
	Deadline time.Time

	stall   time.Duration
	begun   bool
	arrived int
}

// NewProgress returns the progress of a transfer that has to begin by a deadline.
func NewProgress(beginBy time.Time, stall time.Duration) *Progress {
	return &Progress{Deadline: beginBy, stall: stall}
}

// Record records that n bytes have arrived, and reports whether the deadline has moved.
func (p *Progress) Record(now time.Time, n int) bool {
	p.arrived += n
	if p.begun && p.arrived < SliceBytes {
		return false
	}
	p.begun, p.arrived = true, p.arrived%SliceBytes
	next := now.Add(p.stall)
	if !next.After(p.Deadline) {
		return false
	}
	p.Deadline = next
	return true
}
