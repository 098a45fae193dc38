package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/standin/wire"
)

// Effect is the number of calls with an idempotency key that took effect.
type Effect struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Fault selects the faults that the service simulates until the next one is set.
type Fault struct {
	// SlowMilli is added to the duration of each call.
	SlowMilli int `json:"slow_ms"`
	// Sever closes the connection without an answer after the call took effect.
	Sever bool `json:"sever"`
}

// Server is a simulated service that echoes request bodies. Work is the duration of a call.
type Server struct {
	Work time.Duration

	mu      sync.Mutex
	effects map[string]int
	calls   int64
	fault   Fault
}

// New returns a service with the given duration of a call.
func New(work time.Duration) *Server {
	return &Server{Work: work, effects: make(map[string]int)}
}

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/effects", s.getEffects)
	r.POST("/fault", s.setFault)
	r.NotFound = http.HandlerFunc(s.call)
	return r
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.calls++
	s.mu.Unlock()
	time.Sleep(s.Work + time.Duration(fault.SlowMilli)*time.Millisecond)
	key := r.Header.Get("Idempotency-Key")
	count := s.countEffect(key)
	if fault.Sever {
		wire.Sever(w)
		return
	}
	wire.Reply(w, http.StatusOK, struct {
		Path  string `json:"path"`
		Key   string `json:"key,omitempty"`
		Count int    `json:"count,omitempty"`
		Echo  string `json:"echo"`
	}{r.URL.Path, key, count, string(body)})
}

func (s *Server) countEffect(key string) int {
	if key == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	return s.effects[key]
}

func (s *Server) getEffects(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	list := make([]Effect, 0, len(s.effects))
	for key, n := range s.effects {
		list = append(list, Effect{Key: key, Count: n})
	}
	calls := s.calls
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, struct {
		Calls   int64    `json:"calls"`
		Effects []Effect `json:"effects"`
	}{calls, list})
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if !wire.Decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}
