package depot

import (
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/zeebo/blake3"

	"gypsumvale/internal/protocol/storage"
	"gypsumvale/internal/standin/wire"
	"gypsumvale/internal/state/piece"
)

// Config sets the store's bandwidth, capacity and delays.
type Config struct {
	LinkBytesPerSecond int64
	LimitBytes         int64
	// EventLag delays events.
	EventLag time.Duration
}

// Fault selects the faults that the store simulates until the next one is set.
type Fault struct {
	// Dead severs every connection without an answer.
	Dead bool `json:"dead"`
	// LinkFactor divides the link's bandwidth if it is above one.
	LinkFactor float64 `json:"link_factor"`
	// Careless serves blocks that are pending, freed or of another generation instead of rejecting the read.
	Careless bool `json:"careless"`
	// Corrupt prepends a byte to the data of each block that is read.
	Corrupt bool `json:"corrupt"`
	// Restart loses all blocks and events at once.
	Restart bool `json:"restart"`
	// Lose frees this number of blocks at once. Their events are delayed like all others.
	Lose int `json:"lose"`
}

// Stats counts what the store has done since it was created, and its current usage.
type Stats struct {
	Reads     int64 `json:"reads"`
	Refused   int64 `json:"refused"`
	Careless  int64 `json:"careless"`
	Writes    int64 `json:"writes"`
	Full      int64 `json:"full"`
	LinkBytes int64 `json:"link_bytes"`
	// BusyMilli is the total time in milliseconds that transfers occupied the link.
	BusyMilli  int64 `json:"busy_ms"`
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	Blocks     int   `json:"blocks"`
}

type block struct {
	name       piece.Name
	generation uint64
	data       []byte
	digest     string
	bytes      int64
	committed  bool
}

// Server is a simulated cache store.
type Server struct {
	cfg Config

	mu         sync.Mutex
	runID      string
	blocks     map[piece.Name]*block
	freed      map[piece.Name]*block
	events     []storage.Event
	eventTimes []time.Time
	generation uint64
	fault      Fault
	stats      Stats
	linkFreeAt time.Time
}

// New returns an empty store.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.restart()
	return s
}

// restart empties the store. Generations continue above the earlier ones, so that none is reused.
func (s *Server) restart() {
	s.runID = uuid.NewString()
	s.blocks = make(map[piece.Name]*block)
	s.freed = make(map[piece.Name]*block)
	s.events, s.eventTimes = nil, nil
	s.generation += 1 << 20
	s.stats.UsedBytes = 0
}

// Handler returns the store's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/blocks/:name", s.unlessDead(s.begin))
	r.PUT("/blocks/:name", s.unlessDead(s.commit))
	r.GET("/blocks/:name", s.unlessDead(s.read))
	r.DELETE("/blocks/:name", s.unlessDead(s.free))
	r.GET("/events", s.unlessDead(s.getEvents))
	r.POST("/fault", s.setFault)
	r.GET("/stats", s.getStats)
	return r
}

// unlessDead severs connections while Fault.Dead is set.
func (s *Server) unlessDead(next httprouter.Handle) httprouter.Handle {
	return wire.SeverIf(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault.Dead
	}, next)
}

// begin creates a pending block and answers with its generation. If a block of that name exists, pending or committed, it answers with
// a conflict.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	size, err := strconv.ParseInt(r.Header.Get(storage.HeaderBytes), 10, 64)
	if err != nil || size < 1 {
		http.Error(w, "no size", http.StatusBadRequest)
		return
	}
	name := piece.Name(p.ByName("name"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[name]; b != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if s.stats.UsedBytes+size > s.cfg.LimitBytes {
		s.stats.Full++
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	s.generation++
	s.stats.UsedBytes += size
	s.blocks[name] = &block{name: name, generation: s.generation, bytes: size}
	w.Header().Set(storage.HeaderGeneration, strconv.FormatUint(s.generation, 10))
}

// commit stores the data of a pending block and verifies its digest.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.waitForLink(int64(len(data)))
	name := piece.Name(p.ByName("name"))
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[name]
	if b == nil || b.committed || strconv.FormatUint(b.generation, 10) != r.Header.Get(storage.HeaderGeneration) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.data = data
	if Digest(data) != r.Header.Get(storage.HeaderDigest) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	b.digest = Digest(data)
	b.committed = true
	s.stats.Writes++
	s.publish(storage.Event{Name: name, Generation: b.generation, Digest: b.digest, Bytes: b.bytes})
}

// Digest returns the BLAKE3 digest of a block's data in hexadecimal.
func Digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *Server) publish(e storage.Event) {
	e.Seq = uint64(len(s.events) + 1)
	s.events = append(s.events, e)
	s.eventTimes = append(s.eventTimes, time.Now())
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	name := piece.Name(p.ByName("name"))
	s.mu.Lock()
	b, ok := s.readableBlock(name, r.Header.Get(storage.HeaderGeneration))
	fault := s.fault
	if !ok {
		s.stats.Refused++
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.stats.Reads++
	data, digest, size := b.data, b.digest, b.bytes
	s.mu.Unlock()
	if fault.Corrupt {
		data = append([]byte("?"), data...)
	}
	s.waitForLink(size)
	w.Header().Set(storage.HeaderDigest, digest)
	// A write error means that the reader has disconnected.
	_, _ = w.Write(data)
}

// readableBlock returns the committed block of a generation. With Fault.Careless it returns any block of that name, even a
// freed one. The caller holds the lock.
func (s *Server) readableBlock(name piece.Name, generation string) (*block, bool) {
	b := s.blocks[name]
	if b != nil && b.committed && strconv.FormatUint(b.generation, 10) == generation {
		return b, true
	}
	if !s.fault.Careless {
		return nil, false
	}
	if b == nil {
		b = s.freed[name]
	}
	if b != nil {
		s.stats.Careless++
	}
	return b, b != nil
}

// waitForLink sleeps until the link has carried a number of bytes. Transfers occupy the link one after another.
func (s *Server) waitForLink(size int64) {
	s.mu.Lock()
	rate := float64(s.cfg.LinkBytesPerSecond)
	if s.fault.LinkFactor > 1 {
		rate /= s.fault.LinkFactor
	}
	duration := time.Duration(float64(size) / rate * float64(time.Second))
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(duration)
	end := s.linkFreeAt
	s.stats.LinkBytes += size
	s.stats.BusyMilli += duration.Milliseconds()
	s.mu.Unlock()
	time.Sleep(time.Until(end))
}

func (s *Server) free(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	name := piece.Name(p.ByName("name"))
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[name]
	if b == nil || strconv.FormatUint(b.generation, 10) != r.Header.Get(storage.HeaderGeneration) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.freeBlock(name, b)
}

// freeBlock frees a block and publishes the event. The caller holds the lock.
func (s *Server) freeBlock(name piece.Name, b *block) {
	delete(s.blocks, name)
	// Simulates that the space is reused at once: a later read of the freed block gets other data.
	reused := *b
	reused.data = []byte("space used again")
	s.freed[name] = &reused
	s.stats.UsedBytes -= b.bytes
	s.publish(storage.Event{Name: name, Generation: b.generation, Freed: true})
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const pageLength = 500
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	runID := r.URL.Query().Get("life")
	s.mu.Lock()
	reply := storage.Events{RunID: s.runID, UsedBytes: s.stats.UsedBytes, LimitBytes: s.cfg.LimitBytes}
	if runID != s.runID || after > uint64(len(s.events)) {
		after, reply.Reset = 0, true
	}
	end := after
	for end < uint64(len(s.events)) && end < after+pageLength && time.Since(s.eventTimes[end]) >= s.cfg.EventLag {
		end++
	}
	reply.Events = append(reply.Events, s.events[after:end]...)
	reply.Next = end
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, reply)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if !wire.Decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	for name, b := range s.blocks {
		if s.fault.Lose <= 0 {
			break
		}
		s.fault.Lose--
		s.freeBlock(name, b)
	}
	if f.Restart {
		s.restart()
		s.fault.Restart = false
	}
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	stats := s.stats
	stats.LimitBytes = s.cfg.LimitBytes
	stats.Blocks = len(s.blocks)
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, stats)
}
