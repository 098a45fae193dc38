package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gypsumvale/internal/standin/wire"
)

// Registrar is where endpoints register; a Store is one, and so is a RemoteStore.
type Registrar interface {
	Put(key string, value any) error
	Delete(key string)
}

// EndpointConfig describes an endpoint.
type EndpointConfig struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Model is empty for plain services.
	Model   string
	Version int
	// Work is the time of a plain call, and of each event of a stream.
	Work time.Duration
	// Events is the length of a stream.
	Events int
	// Listen is the endpoint's address; empty is a loopback port of the kernel's choice.
	Listen string
	// Advertise is the address that is registered; empty is where the endpoint listens.
	Advertise string
	// Journal takes a line for each Record, before its effect; nil takes none.
	Journal io.Writer
}

// JournalEntry is one line of an endpoint's journal; one of its parts is set.
type JournalEntry struct {
	At time.Time
	// Endpoint is the name of the endpoint.
	Endpoint string
	Run      *Run   `json:",omitempty"`
	Order    *Order `json:",omitempty"`
	// Started says that the endpoint's process begins.
	Started bool `json:",omitempty"`
	// Leaving says that the platform has acknowledged that the endpoint is leaving.
	Leaving bool `json:",omitempty"`
}

// Order is one order to replace weights that an endpoint took.
type Order struct {
	Owner   string
	Fence   uint64
	Version int
}

// EndpointFault is what goes wrong at an endpoint until the next fault is set.
type EndpointFault struct {
	// CutAfter breaks streams off behind so many events; zero is never.
	CutAfter int
	// DropAnswers runs requests and closes their connections without an answer.
	DropAnswers bool
	// Stray sends an answer to another request before each answer.
	Stray bool
	// Trailing sends bytes behind each answer.
	Trailing bool
	// Unsealed leaves the signature out.
	Unsealed bool
	// Full rejects everything as not run.
	Full bool
	// Status, if not zero, is the status of every answer, with signature.
	Status int
	// CrashOn ends the endpoint when a request's body holds this text.
	CrashOn string
}

// Run is one request that an endpoint began to work on.
type Run struct {
	RequestID string
	Endpoint  string
	Workspace string
	Target    string
	Body      string
	LastEvent int
	Header    http.Header
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	cfg       EndpointConfig
	registrar Registrar
	listener  net.Listener
	server    *http.Server
	// born is when the endpoint began, in milliseconds since the Unix epoch.
	born int64

	mu      sync.Mutex
	fault   EndpointFault
	version int
	orders  int
	running int
	runs    []Run
	leaving bool
	ended   bool
}

// StartEndpoint serves an endpoint on a loopback port and registers it.
func StartEndpoint(cfg EndpointConfig, registrar Registrar) (*Endpoint, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
	}
	e := &Endpoint{cfg: cfg, registrar: registrar, listener: listener, version: cfg.Version, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	// Serve ends with an error that says that the server was closed.
	go func() { _ = e.server.Serve(listener) }()
	if err := e.record(JournalEntry{Started: true}); err != nil {
		return nil, err
	}
	return e, e.register()
}

// Address returns the registered address.
func (e *Endpoint) Address() string { return e.cfg.Advertise }

func (e *Endpoint) register() error {
	e.mu.Lock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	type model struct {
		Name    string
		Version int
	}
	models := []model{}
	if e.cfg.Model != "" {
		models = append(models, model{e.cfg.Model, e.version})
	}
	e.mu.Unlock()
	return e.registrar.Put("servers/"+e.cfg.ID, struct {
		Backend, Address, Zone, Version string
		Capacity                        int
		State                           string
		ColdLeftMs, Sequence            int
		Models                          []model
		Born                            int64 `json:"born"`
	}{e.cfg.Service, e.Address(), e.cfg.Zone, "v1", e.cfg.Slots, state, 0, 1, models, e.born})
}

// Leave announces that the endpoint is leaving; it serves on.
func (e *Endpoint) Leave() error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if err := e.register(); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return e.record(JournalEntry{Leaving: true})
}

// record writes a line of the journal.
func (e *Endpoint) record(line JournalEntry) error {
	if e.cfg.Journal == nil {
		return nil
	}
	line.At, line.Endpoint = time.Now(), e.cfg.ID
	data, err := json.Marshal(line)
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	if _, err := e.cfg.Journal.Write(append(data, '\n')); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

// Stop ends the endpoint at once and removes its registration.
func (e *Endpoint) Stop() {
	e.crash()
	e.registrar.Delete("servers/" + e.cfg.ID)
}

// crash closes all connections without a word.
func (e *Endpoint) crash() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// SetFault replaces the fault.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns the requests that the endpoint began to work on.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the weight version that the endpoint runs.
func (e *Endpoint) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ServeHTTP serves requests and the calls of an engine.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.cfg.ID {
		w.Header().Set("Instance-Id", e.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
		return
	case "/-/order":
		e.order(w, r)
		return
	case "/-/kv-events":
		e.events(w, r)
		return
	case "/control/fault":
		var f EndpointFault
		if wire.Decode(w, r, &f) {
			e.SetFault(f)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.serve(w, r, string(body))
}

func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type model struct {
		Name    string
		Version int
	}
	wire.Reply(w, http.StatusOK, struct {
		Models   []model
		Busy     bool
		Sequence int
		Born     int64 `json:"born"`
	}{[]model{{e.cfg.Model, e.version}}, false, e.orders, e.born})
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation, Model, Owner, Mode string
		Version                       int
		FencingToken                  uint64
		Expected                      *int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Owner == "" || body.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if body.Expected != nil && *body.Expected != e.orders {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.version = body.Version
	e.orders++
	err := e.record(JournalEntry{Order: &Order{body.Owner, body.FencingToken, body.Version}})
	e.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := e.register(); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Endpoint) events(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
	}
	wire.Reply(w, http.StatusOK, struct {
		Epoch, Next int64
		Lost        bool
		Events      [][]any
		ClockMs     int64 `json:"clock_ms"`
		Born        int64 `json:"born"`
	}{1, 0, false, [][]any{}, time.Now().UnixMilli(), e.born})
}

// Running returns the number of requests that the endpoint works on.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
