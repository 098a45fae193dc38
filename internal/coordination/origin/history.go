package origin

import (
	"maps"
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

// retention is how long a version is remembered after it has left a service: longer than any stream lasts.
const retention = 2 * time.Minute

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
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{present: make(map[string]map[string]bool), lastSeen: make(map[string]map[string]clock.Instant)}
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
	h.present = present
}

// Services returns the services that have endpoints.
func (h *History) Services() []string {
	return slices.Collect(maps.Keys(h.present))
}

// SetRecorded sets what the store has on record, or nil if it has nothing.
func (h *History) SetRecorded(recorded map[string]Versions) { h.recorded = recorded }

// Sole returns the only version of a service at which a stream may have begun within a time, or false if there are several or it isn't known.
func (h *History) Sole(now clock.Instant, wall time.Time, service string, within time.Duration) (string, bool) {
	recorded, known := h.recorded[service]
	if !known && (h.since == 0 || now.Sub(h.since) < within) {
		return "", false
	}
	possible := maps.Clone(h.present[service])
	if possible == nil {
		possible = make(map[string]bool)
	}
	for version, at := range h.lastSeen[service] {
		if now.Sub(at) < within {
			possible[version] = true
		}
	}
	for version, left := range recorded {
		// What is on record as in service and not seen here has left at an unknown time.
		if left == 0 || wall.UnixMilli()-left < within.Milliseconds() {
			possible[version] = true
		}
	}
	sole := ""
	for version := range possible {
		sole = version
	}
	return sole, len(possible) == 1 && sole != ""
}

// Due returns what the store should have on record, and whether that differs from what it has. Services without endpoints keep their record.
func (h *History) Due(now clock.Instant, wall time.Time) (map[string]Versions, bool) {
	due, changed := make(map[string]Versions), false
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
