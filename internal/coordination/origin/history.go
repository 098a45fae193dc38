package origin

import (
	"maps"
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// retention is how long a version is remembered after it has left a service: longer than any stream lasts.
	retention = 2 * time.Minute
	// settleTime is how long a version must have been in service before streams begin there that may go on elsewhere, and maxListAge is how old a
	// list of endpoints may be that tells the only version in service. An instance that hasn't heard of a version has a list from before it
	// came, so that it concludes nothing from that list once streams may have begun at the version. The difference covers clocks that run at
	// different rates. A list is mostly younger than a second; each second of settleTime keeps a release's first endpoints idle for as long.
	settleTime = 3 * time.Second
	maxListAge = 2 * time.Second
	// returnTime is for how long a version may be out of service and still counts as settled when it returns, so that an endpoint that starts
	// again takes streams at once. It is shorter than the time for which others take it for one at which streams may have begun.
	returnTime = 10 * time.Second
	// LateNotice is how much longer than a stream lasts a version counts as one at which streams may have begun after it has left. Instances that
	// read no list meanwhile go on beginning streams there until their list is maxBeginAge old: on routes that need no fresh configuration, a cut
	// zone serves for that long. The difference covers the time after its deadline for which a stream may be taken up.
	LateNotice  = 30 * time.Second
	maxBeginAge = 28 * time.Second
	// oldListRetryDelay is after what time a stream may be tried again that didn't begin since the list of endpoints was too old.
	oldListRetryDelay = time.Second
	// reappearTime is how long endpoints may take to register again what a restored store has lost.
	reappearTime = 2500 * time.Millisecond
)

// Current reports whether a list of endpoints that was read at an instant shows every version at which a stream may have begun until now.
func Current(now, listedAt clock.Instant) bool {
	return listedAt != 0 && now.Sub(listedAt) <= maxListAge
}

// Versions maps each software version to when it left its service, in Unix milliseconds, or to zero while it is in service.
type Versions map[string]int64

// History holds which software versions each service had lately: as seen here, and as recorded in the store, which also knows what was before all
// instances started.
type History struct {
	// since is when the services were first seen here.
	since    clock.Instant
	present  map[string]map[string]bool
	lastSeen map[string]map[string]clock.Instant
	recorded map[string]Versions
	// firstSeen is since when each version has been in service, as seen here, with interruptions of less than returnTime.
	firstSeen map[string]map[string]clock.Instant
	// settled holds the versions that are on record as settled, and recordRead is true once the record has been read.
	settled    map[string][]string
	recordRead bool
	// restored is true if the record is from before the store was restored from a copy, so that it may lack versions.
	restored bool
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		present: make(map[string]map[string]bool), lastSeen: make(map[string]map[string]clock.Instant),
		firstSeen: make(map[string]map[string]clock.Instant),
	}
}

// Observe records the versions that are in service now, by service.
func (h *History) Observe(now clock.Instant, present map[string]map[string]bool) {
	if h.since == 0 {
		h.since = now
	}
	for service, versions := range h.present {
		for version := range versions {
			if present[service][version] {
				continue
			}
			if h.lastSeen[service] == nil {
				h.lastSeen[service] = make(map[string]clock.Instant)
			}
			h.lastSeen[service][version] = now
		}
	}
	for service, versions := range present {
		if h.firstSeen[service] == nil {
			h.firstSeen[service] = make(map[string]clock.Instant)
		}
		for version := range versions {
			left, seen := h.lastSeen[service][version]
			if _, held := h.firstSeen[service][version]; !held || seen && !h.present[service][version] && now.Sub(left) >= returnTime {
				h.firstSeen[service][version] = now
			}
		}
	}
	h.present = present
}

// RecordGap records that no list was read between two instants. If that is long enough for a version to have left and returned unnoticed, what was seen
// before tells nothing of how long a version has been in service.
func (h *History) RecordGap(since, now clock.Instant) {
	if h.since == 0 || now.Sub(since) < returnTime {
		return
	}
	h.since = now
	for service, versions := range h.present {
		for version := range versions {
			h.firstSeen[service][version] = now
		}
	}
}

// Services returns the services that have endpoints.
func (h *History) Services() []string {
	return slices.Collect(maps.Keys(h.present))
}

// Record is what the store has of the versions of all services.
type Record struct {
	// Versions is nil if the store has none.
	Versions map[string]Versions
	// Settled holds the versions at which streams may begin.
	Settled map[string][]string
	// Restored is true if the record was written before the store was restored from a copy, so that it may lack versions.
	Restored bool
}

// SetRecorded sets what the store has on record.
func (h *History) SetRecorded(r Record) {
	h.recorded, h.settled, h.restored, h.recordRead = r.Versions, r.Settled, r.Restored, true
}

// Settling returns the versions of a service that have come too lately for streams to begin there, and when that ends for each of them as far as
// known here. A service of which no other version is known within a time has none. If the list of endpoints, which was read at an instant, is so
// old that others may have seen the versions leave a while ago, it returns all of them.
func (h *History) Settling(now clock.Instant, wall time.Time, service string, within time.Duration, listedAt clock.Instant) map[string]clock.Instant {
	if now.Sub(listedAt) > maxBeginAge {
		all := make(map[string]clock.Instant)
		for version := range h.present[service] {
			all[version] = now.Add(oldListRetryDelay)
		}
		return all
	}
	if h.recordRead && len(h.possible(now, wall, service, within)) <= 1 {
		return nil
	}
	var settling map[string]clock.Instant
	for version := range h.present[service] {
		settlesAt := h.firstSeen[service][version].Add(settleTime)
		if !now.Before(settlesAt) || h.recordedSettled(service, version) {
			continue
		}
		if settling == nil {
			settling = make(map[string]clock.Instant)
		}
		settling[version] = settlesAt
	}
	return settling
}

// recordedSettled reports whether a version is on record as settled and in service. The record may be older than what was seen here.
func (h *History) recordedSettled(service, version string) bool {
	if _, seenLeaving := h.lastSeen[service][version]; seenLeaving {
		return false
	}
	left, ok := h.recorded[service][version]
	return ok && left == 0 && slices.Contains(h.settled[service], version)
}

// DueSettled returns which versions the store should have on record as settled, and whether that differs from what it has.
func (h *History) DueSettled(now clock.Instant, wall time.Time, within time.Duration, listedAt clock.Instant) (map[string][]string, bool) {
	due, changed := make(map[string][]string), false
	for service, present := range h.present {
		settling := h.Settling(now, wall, service, within, listedAt)
		for version := range present {
			if _, unsettled := settling[version]; !unsettled && version != "" {
				due[service] = append(due[service], version)
			}
		}
		slices.Sort(due[service])
		changed = changed || !slices.Equal(due[service], h.settled[service])
	}
	return due, changed
}

// Sole returns the only version of a service at which a stream may have begun within a time, or false if there are several or it isn't known.
func (h *History) Sole(now clock.Instant, wall time.Time, service string, within time.Duration) (string, bool) {
	_, known := h.recorded[service]
	if known = known && !h.restored; !known && (h.since == 0 || now.Sub(h.since) < within) {
		return "", false
	}
	possible, sole := h.possible(now, wall, service, within), ""
	for version := range possible {
		sole = version
	}
	return sole, len(possible) == 1 && sole != ""
}

// possible returns the versions of a service that are in service, or were within a time, as far as known.
func (h *History) possible(now clock.Instant, wall time.Time, service string, within time.Duration) map[string]bool {
	possible := maps.Clone(h.present[service])
	if possible == nil {
		possible = make(map[string]bool)
	}
	for version, at := range h.lastSeen[service] {
		if now.Sub(at) < within {
			possible[version] = true
		}
	}
	for version, left := range h.recorded[service] {
		// What is on record as in service and not seen here has left at an unknown time.
		if left == 0 || wall.UnixMilli()-left < within.Milliseconds() {
			possible[version] = true
		}
	}
	return possible
}

// MayRecord reports whether this instance has seen versions for long enough to write the record of a store that was restored from a copy: what the
// copy lacks is registered again within reappearTime.
func (h *History) MayRecord(now clock.Instant) bool {
	return !h.restored || h.since != 0 && now.Sub(h.since) >= reappearTime
}

// Due returns what the store should have on record, and whether that differs from what it has. Services without endpoints keep their record.
func (h *History) Due(now clock.Instant, wall time.Time) (map[string]Versions, bool) {
	due, changed := make(map[string]Versions), h.restored
	for service, versions := range h.recorded {
		due[service] = maps.Clone(versions)
	}
	for service, present := range h.present {
		if due[service] == nil {
			due[service] = make(Versions)
		}
		for version := range present {
			if version == "" {
				continue
			}
			if left, ok := due[service][version]; !ok || left != 0 {
				due[service][version], changed = 0, true
			}
		}
	}
	for service, versions := range h.lastSeen {
		for version, at := range versions {
			if _, ok := due[service][version]; ok || version == "" || now.Sub(at) > retention || due[service] == nil {
				continue
			}
			due[service][version], changed = wall.Add(-now.Sub(at)).UnixMilli(), true
		}
	}
	for service, versions := range due {
		for version, left := range versions {
			switch {
			case left == 0 && !h.present[service][version]:
				versions[version], changed = wall.UnixMilli(), true
			case left != 0 && wall.UnixMilli()-left > retention.Milliseconds():
				// It is removed with the next change.
				delete(versions, version)
			}
		}
	}
	return due, changed
}
