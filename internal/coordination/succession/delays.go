package succession

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// behindDelay is the mean delay from which an instance is behind: an eighth of the time for which entries wait for a placement (80 ms).
	behindDelay = 10 * time.Millisecond
	// caughtUpDelay is the mean delay below which an instance that was behind has caught up.
	caughtUpDelay = behindDelay / 2
	// maxSample is the most that one sample counts, so that a single pause, however long, doesn't make an instance behind.
	maxSample = 50 * time.Millisecond
	// sampleWeight is the weight of the newest sample in the mean: one second of samples decides.
	sampleWeight = 1 / float64(time.Second/SamplePeriod)
	// SamplePeriod is the interval at which delays are to be measured.
	SamplePeriod = 100 * time.Millisecond
)

// Delays averages how long messages wait until this process runs the code that reads them, and decides whether the instance is behind.
//
//	load pattern                           decision
//	steady work within the processor's     caught up: the mean stays below a millisecond
//	  time
//	a single pause of any length           not behind: one sample counts 50 ms at most
//	work arrives faster than it is done    behind once the mean exceeds 10 ms, until it is below 5 ms
type Delays struct {
	mean        time.Duration
	behindSince clock.Instant
}

// Record adds a sample, and reports whether the instance has become behind or has caught up by it.
func (d *Delays) Record(now clock.Instant, delay time.Duration) (changed bool) {
	d.mean += time.Duration(sampleWeight * float64(min(delay, maxSample)-d.mean))
	switch behind := d.Behind(); {
	case !behind && d.mean > behindDelay:
		d.behindSince = now
		return true
	case behind && d.mean < caughtUpDelay:
		d.behindSince = 0
		return true
	}
	return false
}

// Mean returns the mean delay.
func (d *Delays) Mean() time.Duration { return d.mean }

// Behind reports whether the instance is behind.
func (d *Delays) Behind() bool { return d.behindSince != 0 }

// BehindSince returns when the instance became behind, or zero if it isn't.
func (d *Delays) BehindSince() clock.Instant { return d.behindSince }
