package isolation

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// failureWindow is the time within which endpoints must fail for a check; it fits several dials that get no answer.
	failureWindow = time.Second
	// minFailed is how many endpoints must fail: one alone may have crashed.
	minFailed = 2
	// checkPause is the pause after a check that reached an endpoint.
	checkPause = 300 * time.Millisecond
	// minReached is how many endpoints must accept a connection within reachedWindow for the isolation to end.
	minReached    = 2
	reachedWindow = time.Second
)

// Detector decides from the dials to endpoints whether this instance reaches any of them.
//
//	load pattern                                       decision
//	an endpoint crashes                                nothing: one endpoint fails
//	a service, or a zone, fails                        a check, which reaches the others
//	a sound endpoint is silent for a second            nothing: it accepts connections
//	all links hang, are reset, or refuse new ones      a check, which reaches none: isolated
//	the links are back, or those of one zone are       two endpoints accept within a second: not isolated
//
// Which endpoints answer on connections that are open already doesn't matter: these may live on while new ones are refused.
type Detector struct {
	// failed holds when endpoints could not be reached since one was, by address.
	failed map[string]clock.Instant
	// reached holds when endpoints were reached while isolated, by address.
	reached    map[string]clock.Instant
	isolated   bool
	since      clock.Instant
	checking   bool
	nextChecks clock.Instant
}

// NewDetector returns the detector of an instance that isn't isolated.
func NewDetector() *Detector {
	return &Detector{failed: make(map[string]clock.Instant), reached: make(map[string]clock.Instant)}
}

// RecordDial records whether a dial to an endpoint was accepted, and reports whether a check is due now. The caller carries it out and calls
// EndCheck.
func (d *Detector) RecordDial(now clock.Instant, address string, accepted bool) (check bool) {
	if accepted {
		clear(d.failed)
		d.recordReached(now, address)
		return false
	}
	if d.isolated {
		return false
	}
	for other, at := range d.failed {
		if now.Sub(at) > failureWindow {
			delete(d.failed, other)
		}
	}
	d.failed[address] = now
	if len(d.failed) < minFailed || d.checking || now.Before(d.nextChecks) {
		return false
	}
	d.checking = true
	return true
}

// recordReached ends the isolation once enough endpoints were reached.
func (d *Detector) recordReached(now clock.Instant, address string) {
	if !d.isolated {
		return
	}
	for other, at := range d.reached {
		if now.Sub(at) > reachedWindow {
			delete(d.reached, other)
		}
	}
	d.reached[address] = now
	if len(d.reached) >= minReached {
		d.end()
	}
}

func (d *Detector) end() {
	d.isolated, d.since = false, 0
	clear(d.reached)
}

// EndCheck records the end of a check of some endpoints, none of which was reached if isolated is true.
func (d *Detector) EndCheck(now clock.Instant, isolated bool) {
	d.checking, d.nextChecks = false, now.Add(checkPause)
	clear(d.failed)
	if isolated && !d.isolated {
		d.isolated, d.since = true, now
	}
}

// EndProbe records the end of a probe of some of the given number of registered endpoints. A site with one endpoint has no second one to reach.
func (d *Detector) EndProbe(endpoints int) {
	if d.isolated && len(d.reached) > 0 && len(d.reached) >= min(minReached, endpoints) {
		d.end()
	}
}

// Failed reports whether an endpoint is among those that could not be reached since one was.
func (d *Detector) Failed(address string) bool {
	_, failed := d.failed[address]
	return failed
}

// Isolated returns whether this instance reaches no endpoint, and since when this is known.
func (d *Detector) Isolated() (since clock.Instant, isolated bool) { return d.since, d.isolated }
