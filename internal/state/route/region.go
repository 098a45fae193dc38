package route

import "slices"

// AllowedRegions returns the regions that a workspace's request on a route may use; w may be nil. Without a restriction the list is empty. The
// result is false if the lists of the route and the workspace have no region in common, so that the request may use none.
func AllowedRegions(r *Route, w *Workspace) ([]string, bool) {
	if w == nil || len(w.AllowedRegions) == 0 {
		return r.AllowedRegions, true
	}
	if len(r.AllowedRegions) == 0 {
		return w.AllowedRegions, true
	}
	var both []string
	for _, region := range r.AllowedRegions {
		if slices.Contains(w.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}
