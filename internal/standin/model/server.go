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

// CrashMarker in a prompt makes the engine crash when it receives the prompt.
const CrashMarker = "<<crash-endpoint>>"

// Config sets the engine's speed, limits and delays.
type Config struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// PrefillPerSecond is the number of prompt tokens that are computed per second.
	PrefillPerSecond float64
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// CachePieces is the capacity of the prefix cache.
	CachePieces int
	Version     string
	// ChecksFence rejects orders with an outdated fencing token.
	ChecksFence bool
	// LoadReportLag is the age of the numbers of running and waiting requests that the engine reports.
	LoadReportLag time.Duration
	// EventLag delays cache events.
	EventLag time.Duration
	// WeightLoadTime is how long loading weights takes without a weight store.
	WeightLoadTime time.Duration
	// CrashDowntime is how long the engine is down after a crash.
	CrashDowntime time.Duration
	// ExportBytes is the size that the engine declares for each exported block.
	ExportBytes int64
	// StreamRetention is how long an ended stream can be resumed.
	StreamRetention time.Duration
	// MaxWaiting is the number of waiting requests at which further ones are rejected; zero is no limit.
	MaxWaiting int
	// WeightStore is the address of the weight store, if there is one.
	WeightStore string
	Name        string
}

// Fault selects the faults that the engine simulates until the next one is set.
type Fault struct {
	// Slow divides the engine's speed if it is above one.
	Slow float64 `json:"slow"`
	// Truncate, Repeat, Foreign and Drop are the shares of answers that are cut off, or in which a chunk is duplicated, preceded by
	// a chunk of another attempt, or missing.
	Truncate float64 `json:"truncate"`
	Repeat   float64 `json:"repeat"`
	Foreign  float64 `json:"foreign"`
	Drop     float64 `json:"drop"`
	// Crash crashes the engine once.
	Crash bool `json:"crash"`
	// EventGap, if above zero, omits every EventGap-th cache event.
	EventGap int `json:"event_gap"`
	// Seed seeds the choice of the answers with faults.
	Seed uint64 `json:"seed"`
}

// Stats counts what the engine has done since it was created.
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

// Server is a simulated engine.
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
	// process ends when the simulated process crashes; killProcess ends it.
	process     context.Context
	runID       string
	killProcess context.CancelFunc
	streams     map[string]*stream
	reports     []loadReport
	loading     bool
}

type loadReport struct {
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
	s.startProcess()
	return s
}

// startProcess starts a new run of the simulated process.
func (s *Server) startProcess() {
	s.runID = uuid.NewString()
	s.process, s.killProcess = context.WithCancel(context.Background())
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/generate", s.unlessDown(s.generate))
	r.GET("/load", s.unlessDown(s.getLoad))
	r.GET("/events", s.unlessDown(s.getEvents))
	r.POST("/order", s.unlessDown(s.order))
	r.POST("/export", s.unlessDown(s.export))
	r.POST("/fault", s.setFault)
	r.GET("/stats", s.getStats)
	return r
}

// unlessDown severs connections while the engine is down after a crash.
func (s *Server) unlessDown(next httprouter.Handle) httprouter.Handle {
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
	st, status := s.openStream(&req)
	if st == nil {
		w.WriteHeader(status)
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		s.crash()
	}
	s.sendStream(w, r, &req, st)
}

// openStream joins the existing stream of the same name and request, or starts a new one. If it can't, it returns an HTTP status.
func (s *Server) openStream(req *engine.Request) (*stream, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	if st := s.streams[req.Stream]; st != nil && req.Stream != "" && st.matches(req) {
		s.stats.Resumed++
		st.addReader()
		return st, 0
	}
	if s.version != req.Version || s.loading {
		return nil, http.StatusConflict
	}
	if _, waiting := s.batch.sizes(); s.cfg.MaxWaiting > 0 && waiting >= s.cfg.MaxWaiting {
		return nil, http.StatusTooManyRequests
	}
	ctx, cancel := context.WithCancel(s.process)
	st := &stream{version: req.Version, prompt: req.Prompt, tokens: req.MaxTokens, cancel: cancel, changed: make(chan struct{}), readers: 1}
	if req.Stream != "" {
		s.streams[req.Stream] = st
	}
	go s.generateStream(ctx, *req, st)
	return st, 0
}

// crash ends all streams and their connections, empties the cache and severs connections until the configured downtime has passed.
func (s *Server) crash() {
	s.mu.Lock()
	s.stats.Crashes++
	s.downUntil = time.Now().Add(s.cfg.CrashDowntime)
	s.killProcess()
	s.startProcess()
	clear(s.streams)
	s.mu.Unlock()
	s.cache.clear()
}

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	change(&s.stats)
	s.mu.Unlock()
}

// getLoad reports the numbers of requests with the configured delay, and all other values without delay.
func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	running, waiting := s.batch.sizes()
	now := time.Now()
	s.mu.Lock()
	s.reports = append(s.reports, loadReport{at: now, load: engine.Load{Running: running, Waiting: waiting}})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.LoadReportLag {
		s.reports = s.reports[1:]
	}
	load := s.reports[0].load
	load.Version = s.version
	load.Fence = s.fence
	load.Loading = s.loading
	load.RunID = s.runID
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, load)
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	gap := s.fault.EventGap
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, s.cache.eventsAfter(after, s.cfg.EventLag, gap))
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
