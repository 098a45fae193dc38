package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/standin/wire"
)

// Registrar accepts the registrations of endpoints, in this process or in another one.
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
	// Software is the version of the endpoint's software; empty stands for v1.
	Software string
	// Model is empty for plain services.
	Model   string
	Version int
	// Work is the processing time of a plain call, or of each event of a stream.
	Work time.Duration
	// Events is the number of events in a stream. With zero the endpoint answers with plain calls.
	Events int
	// Listen is the address to listen on. If it is empty, a free loopback address is reserved, which other listeners leave free during restarts.
	Listen string
	// Advertise is the address to register. If it is empty, the listening address is registered.
	Advertise string
	// Journal receives a line of JSON for each start, request and order, and for the departure. A request is recorded before it runs.
	// Nil disables the journal.
	Journal io.Writer
	// WarmupTime is for how long the endpoint registers as cold after each start.
	WarmupTime time.Duration
}

// JournalEntry is one line of an endpoint's journal. Exactly one of Run, Rejected, Order, Started and Leaving is set.
type JournalEntry struct {
	At time.Time
	// Endpoint is the ID of the endpoint.
	Endpoint string
	Run      *Run       `json:",omitempty"`
	Rejected *Rejection `json:",omitempty"`
	Order    *Order     `json:",omitempty"`
	// AnswerSaysLeaving is true if the answer to the request states that the endpoint leaves.
	AnswerSaysLeaving bool `json:",omitempty"`
	// AnswerLimit is the number of requests per second that the answer to the request states, or zero.
	AnswerLimit float64 `json:",omitempty"`
	// Started is true if the endpoint has started.
	Started bool `json:",omitempty"`
	// Leaving is true if the registrar has acknowledged that the endpoint is leaving.
	Leaving bool `json:",omitempty"`
}

// Rejection is a request that the endpoint answers without executing it.
type Rejection struct {
	RequestID string
	// RetryAt is when the endpoint wants further requests. It is zero if the answer doesn't say so.
	RetryAt time.Time `json:",omitzero"`
}

// Order is an order to load a weight version that the endpoint accepted.
type Order struct {
	Owner   string
	Fence   uint64
	Version int
}

// EndpointFault selects the faults that an endpoint simulates until SetFault is called again.
type EndpointFault struct {
	// CutAfter aborts a stream in the middle of the first event with a higher number. Zero disables it.
	CutAfter int
	// DropAnswers executes requests and closes their connections without a response.
	DropAnswers bool
	// Stray sends a response to another request before each response.
	Stray bool
	// Trailing sends a response to another request after each response.
	Trailing bool
	// Unsealed omits the signature.
	Unsealed bool
	// Full rejects every request without executing it, as if all slots were taken.
	Full bool
	// Status, if not zero, is the status of every response. The response is signed and has a body of StatusBody bytes.
	Status     int
	StatusBody int
	// LongBody, if not zero, is the number of bytes of the response to a plain call, which begin with the usual ones. Half of them are sent and
	// the connection is aborted if CutAfter isn't zero.
	LongBody int
	// Unframed sends streams without length and chunks, which end with their connections; with CutAfter they end inside an event.
	Unframed bool
	// CrashAfter crashes the endpoint, in an answer without length and chunks, after the event with this number, or in the middle of the body of
	// a plain call. Zero disables it.
	CrashAfter int
	// EndlessEvent sends, in place of a stream's second event, a line that never ends, until the caller closes the connection.
	EndlessEvent bool
	// StartDelay is how long each request waits before it runs. One whose connection closes meanwhile doesn't run.
	StartDelay time.Duration
	// CrashOn crashes the endpoint when a request's body contains this text. It is disabled if empty.
	CrashOn string
	// OrderDelay leaves weight orders without an answer and carries them out after this time, if the number of accepted orders is still
	// the expected one. Zero disables it.
	OrderDelay time.Duration
	// CrashOnPart crashes the endpoint when it begins to answer a prompt that has this part. It is disabled if empty.
	CrashOnPart string
	// RestartAfter is how long after a crash the endpoint starts again. Zero leaves it down.
	RestartAfter time.Duration
	// Leaving states in all answers that the endpoint leaves, whatever its registration says.
	Leaving bool
	// RetryAfter rejects every request without executing it and asks for no others for this time. Zero disables it.
	RetryAfter time.Duration
	// RandomRetryAfter rejects half of the requests, chosen at random, and asks for no others for a random time up to this one, in seconds
	// or as a date. Zero disables it.
	RandomRetryAfter time.Duration
	// RepeatRefusals rejects each request that arrives for the first time and asks for no others for RetryAfter. A copy of the rejection
	// precedes the answer to the next request on its connection. These connections are closed soon after another fault is set.
	RepeatRefusals bool
	// AnonymousCopies leaves the request's identifier out of these copies.
	AnonymousCopies bool
	// Limit is the number of requests per second that the endpoint states in its answers to take from all entries together. Zero states none.
	Limit float64
	// Brittle, if not zero, is the number of requests that the endpoint states to survive turning away in a second. Falls counts how often it had to
	// turn away more.
	Brittle int
	// ReportDelay is how long the answer to a call for a report takes.
	ReportDelay time.Duration
	// LeaveDelay is how long an endpoint that has begun to leave delays its registration as leaving.
	LeaveDelay time.Duration
}

// Run is a request whose execution an endpoint has started.
type Run struct {
	RequestID string
	Endpoint  string
	Workspace string
	Target    string
	Body      string
	LastEvent int
	// Software is the version of the endpoint's software.
	Software string
	Header   http.Header
}

// Endpoint simulates a model engine or an endpoint of a plain service.
type Endpoint struct {
	cfg       EndpointConfig
	registrar Registrar
	// listening is the address that the endpoint listens on.
	listening string

	mu     sync.Mutex
	server *http.Server
	// startedMilli is the start time in milliseconds since the Unix epoch.
	startedMilli int64
	fault        EndpointFault

	endlessBytes     atomic.Int64
	repeatedRefusals atomic.Int64
	version          int
	orderCount       int
	running          int
	arrivals         []time.Time
	calls            int
	runs             []Run
	// cacheEvents holds what the cache has added, one event for each part of each run.
	cacheEvents [][]any
	// refused holds the requests that RepeatRefusals has rejected.
	refused map[string]bool
	// rejectedAt holds when requests were turned away in the last second, and falls counts how often that was more than Brittle allows.
	rejectedAt []time.Time
	falls      int
	// leaving is true once the endpoint has begun to leave, and draining once it registers as leaving.
	leaving, draining bool
	// stopped is true while the endpoint is down, and ended once it won't start again.
	stopped bool
	ended   bool
}

// StartEndpoint starts serving an endpoint and registers it.
func StartEndpoint(cfg EndpointConfig, registrar Registrar) (*Endpoint, error) {
	if cfg.Listen == "" {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, fmt.Errorf("start endpoint: %w", err)
		}
		cfg.Listen = address
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	if cfg.Software == "" {
		cfg.Software = "v1"
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
	}
	e := &Endpoint{cfg: cfg, registrar: registrar, listening: listener.Addr().String(), version: cfg.Version}
	e.mu.Lock()
	e.serveOn(listener)
	e.mu.Unlock()
	if err := e.appendJournal(JournalEntry{Started: true}); err != nil {
		return nil, err
	}
	return e, e.register()
}

// serveOn starts serving on a listener; the caller holds the lock.
func (e *Endpoint) serveOn(listener net.Listener) {
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	e.server, e.startedMilli, e.stopped = server, time.Now().UnixMilli(), false
	// Serve always returns an error; here it is the one that reports that the server was closed.
	go func() { _ = server.Serve(listener) }()
}

// restart starts serving and registers again after a crash, unless the endpoint has ended.
func (e *Endpoint) restart() {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	listener, err := net.Listen("tcp", e.listening)
	if err != nil {
		e.mu.Unlock()
		return
	}
	e.serveOn(listener)
	e.mu.Unlock()
	// An endpoint that isn't registered shows in the test that expects it.
	_ = e.register()
}

// ReplaceSoftware ends the endpoint's process and starts one with another software version under the same identifier and address. Its
// registration stays as it was until Register is called.
func (e *Endpoint) ReplaceSoftware(software string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
	listener, err := net.Listen("tcp", e.listening)
	if err != nil {
		return fmt.Errorf("replace software: %w", err)
	}
	e.cfg.Software = software
	e.serveOn(listener)
	return nil
}

// Register registers the endpoint as it is now.
func (e *Endpoint) Register() error { return e.register() }

// ID returns the identifier of the endpoint.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Address returns the address that the endpoint registers.
func (e *Endpoint) Address() string { return e.cfg.Advertise }

func (e *Endpoint) register() error {
	e.mu.Lock()
	state := "ready"
	if e.draining {
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
	startedMilli, software := e.startedMilli, e.cfg.Software
	e.mu.Unlock()
	warmAt := time.UnixMilli(startedMilli).Add(e.cfg.WarmupTime)
	return e.registrar.Put("servers/"+e.cfg.ID, struct {
		Backend, Address, Zone, Version string
		Capacity                        int
		State                           string
		ColdLeftMs, Sequence            int
		Models                          []model
		Born                            int64 `json:"born"`
	}{e.cfg.Service, e.Address(), e.cfg.Zone, software, e.cfg.Slots, state, int(max(0, time.Until(warmAt)).Milliseconds()), 1, models, startedMilli})
}

// Leave makes the endpoint state in its answers that it leaves, and registers it as leaving. It continues to serve requests.
func (e *Endpoint) Leave() error {
	e.mu.Lock()
	e.leaving = true
	delay := e.fault.LeaveDelay
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	if err := e.register(); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return e.appendJournal(JournalEntry{Leaving: true})
}

// appendJournal adds the time and the endpoint's ID to an entry and writes it to the journal, if there is one.
func (e *Endpoint) appendJournal(entry JournalEntry) error {
	if e.cfg.Journal == nil {
		return nil
	}
	entry.At, entry.Endpoint = time.Now(), e.cfg.ID
	data, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode journal entry: %w", err)
	}
	if _, err := e.cfg.Journal.Write(append(data, '\n')); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

// Stop closes all connections at once and removes the registration.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.crash()
	e.registrar.Delete("servers/" + e.cfg.ID)
}

// crash closes the listener and all connections and leaves the registration in place.
func (e *Endpoint) crash() {
	e.mu.Lock()
	e.stopped = true
	server, after := e.server, e.fault.RestartAfter
	e.mu.Unlock()
	_ = server.Close()
	if after > 0 {
		time.AfterFunc(after, e.restart)
	}
}

// SetFault replaces the simulated faults.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns the requests whose execution the endpoint has started.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Arrivals returns when requests arrived, also those that were rejected.
func (e *Endpoint) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

// Calls returns the number of the platform's management calls that arrived.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// Version returns the weight version that is currently loaded.
func (e *Endpoint) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// leavingHeader states in an answer that the endpoint leaves.
const leavingHeader = "Server-Leaving"

// limitHeader states in an answer how many requests per second the endpoint takes from all entries together.
const limitHeader = "Server-Limit"

// brittleHeader states in an answer how many requests the endpoint survives turning away in a second.
const brittleHeader = "Server-Brittle"

// Falls returns how often the endpoint has turned away more requests in a second than it survives.
func (e *Endpoint) Falls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.falls
}

// countTurnedAway counts a request that is turned away; the caller holds the lock.
func (e *Endpoint) countTurnedAway(now time.Time) {
	if e.fault.Brittle == 0 {
		return
	}
	kept := e.rejectedAt[:0]
	for _, at := range e.rejectedAt {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	if e.rejectedAt = append(kept, now); len(e.rejectedAt) > e.fault.Brittle {
		e.falls++
		e.rejectedAt = nil
	}
}

// ServeHTTP serves callers' requests and the platform's management calls.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	leaving, limit, brittle := e.leaving || e.fault.Leaving, e.fault.Limit, e.fault.Brittle
	if strings.HasPrefix(r.URL.Path, "/-/") {
		e.calls++
	}
	e.mu.Unlock()
	if leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if limit > 0 {
		w.Header().Set(limitHeader, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if brittle > 0 {
		w.Header().Set(brittleHeader, strconv.Itoa(brittle))
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.cfg.ID {
		e.misdirect(w, r)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w, r)
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

// misdirect answers a request that names another endpoint or weight version.
func (e *Endpoint) misdirect(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", e.cfg.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (e *Endpoint) report(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	delay := e.fault.ReportDelay
	e.mu.Unlock()
	if delay > 0 {
		e.sleep(r, delay)
	}
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
	}{[]model{{e.cfg.Model, e.version}}, false, e.orderCount, e.startedMilli})
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
	delay := e.fault.OrderDelay
	e.mu.Unlock()
	carryOut := func() int {
		return e.carryOut(Order{body.Owner, body.FencingToken, body.Version}, body.Expected)
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = carryOut() })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(carryOut())
}

// carryOut carries out an order if the number of accepted orders is the expected one, and returns the status of the answer.
func (e *Endpoint) carryOut(o Order, expected *int) int {
	e.mu.Lock()
	if expected != nil && *expected != e.orderCount {
		e.mu.Unlock()
		return http.StatusConflict
	}
	e.version = o.Version
	e.orderCount++
	err := e.appendJournal(JournalEntry{Order: &o})
	e.mu.Unlock()
	if err != nil {
		return http.StatusInternalServerError
	}
	if err := e.register(); err != nil {
		return http.StatusInternalServerError
	}
	return http.StatusAccepted
}

// Orders returns the number of orders that the endpoint has accepted.
func (e *Endpoint) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderCount
}

func (e *Endpoint) events(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("Since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	added := e.eventsAfter(since)
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); len(added) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil; {
		time.Sleep(cacheEventPause)
		added = e.eventsAfter(since)
	}
	wire.Reply(w, http.StatusOK, struct {
		Epoch, Next int64
		Lost        bool
		Events      [][]any
		ClockMs     int64 `json:"clock_ms"`
		Born        int64 `json:"born"`
	}{1, int64(since + len(added)), false, added, time.Now().UnixMilli(), e.started()})
}

// cacheEventPause is the interval at which a call for cache events looks for new ones.
const cacheEventPause = 20 * time.Millisecond

// addToCache records that the endpoint has read the parts of a prompt; the caller holds the lock.
func (e *Endpoint) addToCache(r *http.Request) {
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		id, text, ok := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(text)
		if !ok || err != nil {
			continue
		}
		e.cacheEvents = append(e.cacheEvents, []any{len(e.cacheEvents) + 1, "+", r.Header.Get("Cache-Salt"), id, tokens, e.cfg.Model})
	}
}

func (e *Endpoint) eventsAfter(number int) [][]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([][]any{}, e.cacheEvents[min(number, len(e.cacheEvents)):]...)
}

// started returns the start time in milliseconds since the Unix epoch.
func (e *Endpoint) started() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedMilli
}

// Running returns the number of requests in progress.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
