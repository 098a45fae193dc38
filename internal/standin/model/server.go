package model

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/standin/wire"
)

// CrashMarker in a prompt makes the engine that runs it crash.
const CrashMarker = "<<crash-endpoint>>"

// Config sets the engine's speed and sizes.
type Config struct {
	Slots            int
	PrefillPerSecond float64
	TokenTime        time.Duration
	CachePieces      int
	Version          string
	ChecksFence      bool
	LoadReportLag    time.Duration
	EventLag         time.Duration
	WeightLoadTime   time.Duration
	CrashDowntime    time.Duration
	ExportBytes      int64
	StreamRetention  time.Duration
	MaxWaiting       int
	WeightStore      string
	Name             string
}

// Fault is what goes wrong until the next fault is set; shares are of answers.
type Fault struct {
	// Slow divides the engine's speed if it is above one.
	Slow     float64 `json:"slow"`
	Truncate float64 `json:"truncate"`
	Repeat   float64 `json:"repeat"`
	Foreign  float64 `json:"foreign"`
	Drop     float64 `json:"drop"`
	Crash    bool    `json:"crash"`
	EventGap int     `json:"event_gap"`
	Seed     uint64  `json:"seed"`
}

// Stats counts what the engine did.
type Stats struct {
	Requests    int64 `json:"requests"`
	Tokens      int64 `json:"tokens"`
	Prefilled   int64 `json:"prefilled_tokens"`
	Reused      int64 `json:"reused_tokens"`
	Fetched     int64 `json:"fetched_tokens"`
	BadBlocks   int64 `json:"bad_blocks_rejected"`
	Crashes     int64 `json:"crashes"`
	Orders      int64 `json:"orders"`
	StaleOrders int64 `json:"stale_orders"`
	Resumed     int64 `json:"resumed"`
	Loads       int64 `json:"loads"`
}

// Server is the engine's state.
type Server struct {
	cfg   Config
	batch batch
	cache *cache

	mu        sync.Mutex
	fault     Fault
	random    *rand.Rand
	stats     Stats
	version   string
	fence     uint64
	downUntil time.Time
	life      context.Context
	lifeName  string
	kill      context.CancelFunc
	streams   map[string]*stream
	reports   []report
	loading   bool
}

type report struct {
	at   time.Time
	load engine.Load
}

// New returns an idle engine.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		batch:   batch{slots: cfg.Slots},
		cache:   newCache(cfg.CachePieces),
		random:  rand.New(rand.NewPCG(1, 1)),
		version: cfg.Version,
		streams: make(map[string]*stream),
	}
	s.live()
	return s
}

// live begins a run of the engine's process.
func (s *Server) live() {
	s.lifeName = uuid.NewString()
	s.life, s.kill = context.WithCancel(context.Background())
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/generate", s.up(s.generate))
	r.GET("/load", s.up(s.getLoad))
	r.GET("/events", s.up(s.getEvents))
	r.POST("/order", s.up(s.order))
	r.POST("/export", s.up(s.export))
	r.POST("/fault", s.setFault)
	r.GET("/stats", s.getStats)
	return r
}

func (s *Server) up(next httprouter.Handle) httprouter.Handle {
	return wire.SeverIf(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Before(s.downUntil)
	}, next)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req engine.Request
	if !wire.Decode(w, r, &req) {
		return
	}
	st, status := s.open(&req)
	if st == nil {
		w.WriteHeader(status)
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		s.crash()
	}
	s.send(w, r, &req, st)
}

// open starts a stream, or finds the one that is there already.
func (s *Server) open(req *engine.Request) (*stream, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	if st := s.streams[req.Stream]; st != nil && req.Stream != "" && st.matches(req) {
		s.stats.Resumed++
		st.join()
		return st, 0
	}
	if s.version != req.Version || s.loading {
		return nil, http.StatusConflict
	}
	if _, waiting := s.batch.sizes(); s.cfg.MaxWaiting > 0 && waiting >= s.cfg.MaxWaiting {
		return nil, http.StatusTooManyRequests
	}
	ctx, cancel := context.WithCancel(s.life)
	st := &stream{version: req.Version, prompt: req.Prompt, tokens: req.MaxTokens, cancel: cancel, grown: make(chan struct{}), readers: 1}
	if req.Stream != "" {
		s.streams[req.Stream] = st
	}
	go s.run(ctx, *req, st)
	return st, 0
}

// crash drops every connection and stream, and stays down for a while.
func (s *Server) crash() {
	s.mu.Lock()
	s.stats.Crashes++
	s.downUntil = time.Now().Add(s.cfg.CrashDowntime)
	s.kill()
	s.live()
	clear(s.streams)
	s.mu.Unlock()
	s.cache.clear()
}

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	change(&s.stats)
	s.mu.Unlock()
}

// getLoad answers with the load as it was some time ago.
func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	running, waiting := s.batch.sizes()
	now := time.Now()
	s.mu.Lock()
	s.reports = append(s.reports, report{at: now, load: engine.Load{Running: running, Waiting: waiting}})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.LoadReportLag {
		s.reports = s.reports[1:]
	}
	load := s.reports[0].load
	load.Version = s.version
	load.Fence = s.fence
	load.Loading = s.loading
	load.RunID = s.lifeName
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, load)
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	gap := s.fault.EventGap
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, s.cache.after(after, s.cfg.EventLag, gap))
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if !wire.Decode(w, r, &f) {
		return
	}
	if f.Crash {
		s.crash()
		f.Crash = false
	}
	s.mu.Lock()
	s.fault = f
	s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	s.mu.Unlock()
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	stats := s.stats
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, stats)
}
