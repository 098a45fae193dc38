package route

const (
	// routePriorities is the number of priorities of routes that are distinguished within one workspace priority.
	routePriorities = 3
	// MaxPriority is the least urgent priority of a request.
	MaxPriority = 9
)

// RequestPriority returns the priority of a workspace's request on a route, from 0, the most urgent, to MaxPriority; w may be nil.
//
// The workspace's priority overrides the route's. Among workspaces of one priority the route's decides, so that long work doesn't block
// urgent requests.
func RequestPriority(r *Route, w *Workspace) int {
	priority := r.Priority
	if w != nil && w.Priority != nil {
		priority = *w.Priority
	}
	return min(routePriorities*max(0, priority)+min(max(0, r.Priority), routePriorities-1), MaxPriority)
}
