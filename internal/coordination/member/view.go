package member

import (
	"sort"
	"time"
)

// View is an immutable snapshot of the live members. It includes this instance.
type View struct {
	Self Info
	// Members holds all live members by name, including those that are leaving.
	Members map[string]Info
	// ByZone lists the live members that aren't leaving, by zone and sorted by name.
	ByZone map[string][]string
	// All lists the live members that aren't leaving, sorted by name.
	All []string
	// Writers lists the members of All that can reach the platform, or equals All if none can.
	Writers []string
}

// View returns a snapshot of the members that are live at the given time.
func (t *Table) View(now time.Time) *View {
	v := &View{Self: t.self, Members: make(map[string]Info), ByZone: make(map[string][]string)}
	v.add(&t.self)
	for _, name := range t.names(func(m *memberState) bool { return t.alive(now, m) }) {
		v.add(&t.members[name].info)
	}
	sort.Strings(v.All)
	sort.Strings(v.Writers)
	if len(v.Writers) == 0 {
		v.Writers = v.All
	}
	for _, names := range v.ByZone {
		sort.Strings(names)
	}
	return v
}

func (v *View) add(info *Info) {
	v.Members[info.Name] = *info
	if info.Leaving {
		return
	}
	v.All = append(v.All, info.Name)
	v.ByZone[info.Zone] = append(v.ByZone[info.Zone], info.Name)
	if !info.PlatformDown {
		v.Writers = append(v.Writers, info.Name)
	}
}

// HighestRevision returns the highest configuration revision among live members, and the first member by name that has it.
func (v *View) HighestRevision() (revision uint64, name string) {
	for _, info := range v.Members {
		if info.Revision > revision || info.Revision == revision && info.Name < name {
			revision, name = info.Revision, info.Name
		}
	}
	return revision, name
}
