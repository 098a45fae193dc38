package keyvalue

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/standin/wire"
	"gypsumvale/internal/state/kv"
)

// Config sets the service's rate limits and latency. A rate of zero is unlimited.
type Config struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Latency         time.Duration
}

// Fault selects the faults that the service simulates until the next one is set.
type Fault struct {
	// Down severs every connection without an answer.
	Down bool `json:"down"`
	// SlowMilli is added to the latency of each call.
	SlowMilli int `json:"slow_ms"`
	// LoseReplies is the share of writes that are applied but whose reply is lost.
	LoseReplies float64 `json:"lose_replies"`
	// Seed seeds the choice of the writes whose reply is lost.
	Seed uint64 `json:"seed"`
}

// Stats counts calls since the start.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Leases    int64 `json:"leases"`
	Lists     int64 `json:"lists"`
	Deletes   int64 `json:"deletes"`
	Conflicts int64 `json:"conflicts"`
	Limited   int64 `json:"limited"`
	Lost      int64 `json:"lost"`
	Bytes     int64 `json:"bytes"`
	Keys      int   `json:"keys"`
}

type item struct {
	data    []byte
	version uint64
}

type lease struct {
	holder   string
	fence    uint64
	deadline time.Time
}

// Server is a simulated key-value service.
type Server struct {
	cfg Config

	mu      sync.Mutex
	items   map[string]item
	leases  map[string]*lease
	fault   Fault
	random  *rand.Rand
	stats   Stats
	changed chan struct{}
	writes  tokenBucket
	reads   tokenBucket
}

// New returns an empty service.
func New(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		items:   make(map[string]item),
		leases:  make(map[string]*lease),
		random:  rand.New(rand.NewPCG(1, 1)),
		changed: make(chan struct{}),
		writes:  tokenBucket{rate: cfg.WritesPerSecond},
		reads:   tokenBucket{rate: cfg.ReadsPerSecond},
	}
}

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/kv/*key", s.limitRead(s.get))
	r.PUT("/kv/*key", s.limitWrite(s.put))
	r.DELETE("/kv/*key", s.limitWrite(s.remove))
	r.GET("/list/*prefix", s.limitRead(s.list))
	r.GET("/watch/*key", s.limitRead(s.watch))
	r.POST("/lease/*name", s.limitWrite(s.acquire))
	r.POST("/fault", s.setFault)
	r.GET("/stats", s.getStats)
	return r
}

// limitRead applies outages, latency and the read rate limit to a handler.
func (s *Server) limitRead(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if s.admit(w, &s.reads) {
			next(w, r, p)
		}
	}
}

// limitWrite applies outages, latency and the write rate limit to a handler, and loses replies after the write was applied.
func (s *Server) limitWrite(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if !s.admit(w, &s.writes) {
			return
		}
		if s.drawLostReply() {
			next(discardResponse{header: make(http.Header)}, r, p)
			wire.Sever(w)
			return
		}
		next(w, r, p)
	}
}

func (s *Server) admit(w http.ResponseWriter, b *tokenBucket) bool {
	s.mu.Lock()
	fault := s.fault
	allowed := b.take(time.Now())
	if !allowed {
		s.stats.Limited++
	}
	s.mu.Unlock()
	if fault.Down {
		wire.Sever(w)
		return false
	}
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	time.Sleep(s.cfg.Latency + time.Duration(fault.SlowMilli)*time.Millisecond)
	return true
}

func (s *Server) drawLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.fault.LoseReplies > 0 && s.random.Float64() < s.fault.LoseReplies
	if lost {
		s.stats.Lost++
	}
	return lost
}

type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func trimmedParam(p httprouter.Params, name string) string {
	return strings.TrimPrefix(p.ByName(name), "/")
}

func (s *Server) get(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	it, ok := s.items[trimmedParam(p, "key")]
	s.stats.Reads++
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	sendItem(w, it)
}

func sendItem(w http.ResponseWriter, it item) {
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(it.version, 10))
	// A write error means that the caller has disconnected.
	_, _ = w.Write(it.data)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, kv.MaxValueBytes+1))
	if err != nil || len(data) > kv.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	want, err := strconv.ParseUint(r.Header.Get(platform.HeaderVersion), 10, 64)
	if err != nil {
		http.Error(w, "no version", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := trimmedParam(p, "key")
	s.stats.Writes++
	s.stats.Bytes += int64(len(data))
	it := s.items[name]
	if it.version != want {
		s.stats.Conflicts++
		w.Header().Set(platform.HeaderVersion, strconv.FormatUint(it.version, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	it = item{data: data, version: want + 1}
	s.items[name] = it
	s.notifyWatches()
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(it.version, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	want, _ := strconv.ParseUint(r.Header.Get(platform.HeaderVersion), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Deletes++
	name := trimmedParam(p, "key")
	if want != 0 && s.items[name].version != want {
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(s.items, name)
	s.notifyWatches()
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	prefix := trimmedParam(p, "prefix")
	s.mu.Lock()
	s.stats.Lists++
	infos := []platform.KeyInfo{}
	for name, it := range s.items {
		if strings.HasPrefix(name, prefix) {
			infos = append(infos, platform.KeyInfo{Key: name, Version: it.version})
		}
	}
	s.mu.Unlock()
	sort.Slice(infos, func(i, j int) bool { return infos[i].Key < infos[j].Key })
	wire.Reply(w, http.StatusOK, infos)
}

// watch answers once the key's version differs from the caller's, or with 304 when the wait expires.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	s.stats.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		it, changed, down := s.items[trimmedParam(p, "key")], s.changed, s.fault.Down
		s.mu.Unlock()
		if down {
			wire.Sever(w)
			return
		}
		if it.version != after {
			sendItem(w, it)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// acquire grants or renews a lease if no other holder has it. It answers with the current holder in any case.
func (s *Server) acquire(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var body struct {
		Holder   string `json:"holder"`
		TTLMilli int64  `json:"ttl_ms"`
	}
	if !wire.Decode(w, r, &body) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.stats.Leases++
	name := trimmedParam(p, "name")
	l := s.leases[name]
	if l == nil {
		l = &lease{}
		s.leases[name] = l
	}
	if l.holder != body.Holder && now.After(l.deadline) {
		l.holder = body.Holder
		l.fence++
	}
	if l.holder == body.Holder {
		l.deadline = now.Add(time.Duration(body.TTLMilli) * time.Millisecond)
	}
	answer := platform.Lease{Name: name, Holder: l.holder, Fence: l.fence, RemainingMilli: l.deadline.Sub(now).Milliseconds()}
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, answer)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if !wire.Decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.fault = f
	s.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	s.notifyWatches()
	s.mu.Unlock()
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	stats := s.stats
	stats.Keys = len(s.items)
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, stats)
}

// notifyWatches makes every watch check its key again. The caller holds the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokenBucket limits a rate and allows bursts of one second's tokens. A rate of zero is unlimited.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	if b.refilledAt.IsZero() {
		b.tokens = b.rate
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
