package roster

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/standin/wire"
)

// snapshot is the list after one change.
type snapshot struct {
	at        time.Time
	instances map[string]platform.Instance
}

// Server serves the list of instances as it was Lag ago.
type Server struct {
	Lag time.Duration

	mu        sync.Mutex
	snapshots []snapshot
	down      bool
}

// New returns an empty list that shows changes after a delay.
func New(lag time.Duration) *Server {
	return &Server{Lag: lag}
}

// Handler returns the list's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/instances", s.list)
	r.PUT("/instances", s.put)
	r.DELETE("/instances/:name", s.remove)
	r.POST("/fault", s.setFault)
	return r
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	down, visible := s.down, s.visible(time.Now())
	s.mu.Unlock()
	if down {
		wire.Sever(w)
		return
	}
	list := make([]platform.Instance, 0, len(visible))
	for _, in := range visible {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	wire.Reply(w, http.StatusOK, list)
}

// visible returns the latest snapshot that is at least as old as the lag. The caller holds the lock.
func (s *Server) visible(now time.Time) map[string]platform.Instance {
	var visible map[string]platform.Instance
	for i := range s.snapshots {
		if now.Sub(s.snapshots[i].at) >= s.Lag {
			visible = s.snapshots[i].instances
		}
	}
	return visible
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in platform.Instance
	if wire.Decode(w, r, &in) {
		s.Set(in)
	}
}

// Set adds or replaces an instance.
func (s *Server) Set(in platform.Instance) {
	s.change(func(m map[string]platform.Instance) { m[in.Name] = in })
}

func (s *Server) remove(_ http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.change(func(m map[string]platform.Instance) { delete(m, p.ByName("name")) })
}

func (s *Server) change(edit func(map[string]platform.Instance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]platform.Instance)
	if n := len(s.snapshots); n > 0 {
		for name, in := range s.snapshots[n-1].instances {
			next[name] = in
		}
	}
	edit(next)
	s.snapshots = append(s.snapshots, snapshot{at: time.Now(), instances: next})
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f struct {
		Down bool `json:"down"`
	}
	if !wire.Decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.down = f.Down
	s.mu.Unlock()
}
