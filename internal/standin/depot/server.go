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

// Config sets the store's sizes.
type Config struct {
	LinkBytesPerSecond int64
	LimitBytes         int64
	// EventLag is how late events are shown.
	EventLag time.Duration
}

// Fault is what goes wrong until the next fault is set.
type Fault struct {
	Dead bool `json:"dead"`
	// LinkFactor divides the link's speed if it is above one.
	LinkFactor float64 `json:"link_factor"`
	// Careless serves blocks that are pending, freed or of another generation, as a faulty store would.
	Careless bool `json:"careless"`
	// Corrupt serves blocks with a wrong byte.
	Corrupt bool `json:"corrupt"`
	// Restart loses everything at once.
	Restart bool `json:"restart"`
	// Lose frees a number of blocks at once, which the events tell late.
	Lose int `json:"lose"`
}

// Stats counts what the store did.
type Stats struct {
	Reads     int64 `json:"reads"`
	Refused   int64 `json:"refused"`
	Careless  int64 `json:"careless"`
	Writes    int64 `json:"writes"`
	Full      int64 `json:"full"`
	LinkBytes int64 `json:"link_bytes"`
	// BusyMilli is the time that the link was in use.
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

// Server is the store's state.
type Server struct {
	cfg Config

	mu         sync.Mutex
	life       string
	blocks     map[piece.Name]*block
	freed      map[piece.Name]*block
	events     []storage.Event
	times      []time.Time
	generation uint64
	fault      Fault
	stats      Stats
	linkFree   time.Time
}

// New returns an empty store.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.restart()
	return s
}

// restart empties the store; generations go on, so that none is used again.
func (s *Server) restart() {
	s.life = uuid.NewString()
	s.blocks = make(map[piece.Name]*block)
	s.freed = make(map[piece.Name]*block)
	s.events, s.times = nil, nil
	s.generation += 1 << 20
	s.stats.UsedBytes = 0
}

// Handler returns the store's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/blocks/:name", s.alive(s.begin))
	r.PUT("/blocks/:name", s.alive(s.commit))
	r.GET("/blocks/:name", s.alive(s.read))
	r.DELETE("/blocks/:name", s.alive(s.free))
	r.GET("/events", s.alive(s.list))
	r.POST("/fault", s.setFault)
	r.GET("/stats", s.getStats)
	return r
}

func (s *Server) alive(next httprouter.Handle) httprouter.Handle {
	return wire.SeverIf(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault.Dead
	}, next)
}

// begin opens a pending block and answers with its generation; a committed block of that name is a conflict.
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

// commit takes the data of a pending block; its digest must match.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.transfer(int64(len(data)))
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

// Digest returns the digest of a block's data, in hexadecimal digits.
func Digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *Server) publish(e storage.Event) {
	e.Seq = uint64(len(s.events) + 1)
	s.events = append(s.events, e)
	s.times = append(s.times, time.Now())
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	name := piece.Name(p.ByName("name"))
	s.mu.Lock()
	b, ok := s.find(name, r.Header.Get(storage.HeaderGeneration))
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
	s.transfer(size)
	w.Header().Set(storage.HeaderDigest, digest)
	// A reader that has gone needs no data.
	_, _ = w.Write(data)
}

// find returns a block that may be read, or any block at all while the store is careless.
func (s *Server) find(name piece.Name, generation string) (*block, bool) {
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

// transfer waits for the link, which carries one block after another.
func (s *Server) transfer(size int64) {
	s.mu.Lock()
	rate := float64(s.cfg.LinkBytesPerSecond)
	if s.fault.LinkFactor > 1 {
		rate /= s.fault.LinkFactor
	}
	took := time.Duration(float64(size) / rate * float64(time.Second))
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(took)
	end := s.linkFree
	s.stats.LinkBytes += size
	s.stats.BusyMilli += took.Milliseconds()
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
	s.drop(name, b)
}

// drop frees a block; the caller holds the lock.
func (s *Server) drop(name piece.Name, b *block) {
	delete(s.blocks, name)
	// The space is used again at once, so that whoever reads it now gets something else.
	reused := *b
	reused.data = []byte("space used again")
	s.freed[name] = &reused
	s.stats.UsedBytes -= b.bytes
	s.publish(storage.Event{Name: name, Generation: b.generation, Freed: true})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const pageLength = 500
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	life := r.URL.Query().Get("life")
	s.mu.Lock()
	answer := storage.Events{RunID: s.life, UsedBytes: s.stats.UsedBytes, LimitBytes: s.cfg.LimitBytes}
	if life != s.life || after > uint64(len(s.events)) {
		after, answer.Reset = 0, true
	}
	end := after
	for end < uint64(len(s.events)) && end < after+pageLength && time.Since(s.times[end]) >= s.cfg.EventLag {
		end++
	}
	answer.Events = append(answer.Events, s.events[after:end]...)
	answer.Next = end
	s.mu.Unlock()
	wire.Reply(w, http.StatusOK, answer)
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
		s.drop(name, b)
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
