package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/standin/wire"
)

// parallelLoads is the number of concurrent loads up to which each runs at full speed.
const parallelLoads = 3

// Stats counts loads.
type Stats struct {
	Loads int64 `json:"loads"`
	// Present is the number of loads in progress.
	Present int `json:"present"`
	// Peak is the maximum number of concurrent loads.
	Peak int `json:"peak"`
}

// Server is a simulated weight store. LoadTime is the duration of a load at full speed.
type Server struct {
	LoadTime time.Duration

	mu    sync.Mutex
	stats Stats
}

// New returns a weight store with the given duration of a load at full speed.
func New(loadTime time.Duration) *Server { return &Server{LoadTime: loadTime} }

// Handler returns the store's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/weights/:version", s.load)
	r.GET("/stats", s.getStats)
	return r
}

// load sleeps for LoadTime, or longer in proportion to the number of loads if there are more than parallelLoads when it starts.
func (s *Server) load(http.ResponseWriter, *http.Request, httprouter.Params) {
	s.mu.Lock()
	s.stats.Loads++
	s.stats.Present++
	s.stats.Peak = max(s.stats.Peak, s.stats.Present)
	share := max(1, float64(s.stats.Present)/parallelLoads)
	s.mu.Unlock()
	time.Sleep(time.Duration(float64(s.LoadTime) * share))
	s.mu.Lock()
	s.stats.Present--
	s.mu.Unlock()
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	stats := s.stats
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, stats)
}
