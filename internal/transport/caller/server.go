package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/catalog"
)

// Prompt is one chat request as the back end gets it.
type Prompt struct {
	ID        string
	Workspace *catalog.Workspace
	Request   *api.ChatRequest
	// Key is the caller's idempotency key, or empty.
	Key       string
	ArrivedAt time.Time
}

// Call is one call to a plain service.
type Call struct {
	ID        string
	Workspace *catalog.Workspace
	Service   string
	Method    string
	Path      string
	Query     string
	Type      string
	Key       string
	Body      []byte
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Type   string
	Body   []byte
	// Replayed says that the answer is that of an earlier attempt with the same key.
	Replayed bool
}

// Sink takes the parts of an answer in order.
type Sink interface {
	// Token takes the text of one token; an error means that the caller has gone.
	Token(text string) error
	// Sent returns the number of tokens that the caller may have seen.
	Sent() int
	// Reset drops the tokens taken so far; it is used only while Sent is zero.
	Reset()
}

// Completion is what comes after the last token.
type Completion struct {
	Version string
	Usage   api.Usage
}

// Backend serves requests.
type Backend interface {
	Ready() bool
	// HasConfiguration reports whether a configuration is in force.
	HasConfiguration() bool
	// Admit counts a request in, or refuses it; one that is claimed is let in while the instance stops, so that its refusal is true.
	Admit(claimed bool) *api.Error
	Finish(kind string, failure *api.Error)
	WorkspaceByKey(key string) *catalog.Workspace
	Prompt(ctx context.Context, p *Prompt, s Sink) (*Completion, *api.Error)
	Call(ctx context.Context, c *Call) (*Answer, *api.Error)
}

// Config bounds requests.
type Config struct {
	// Timeout is the longest time for a request; a caller may ask for less.
	Timeout time.Duration
}

// Kinds of requests, as labels of metrics.
const (
	kindPrompt = "prompt"
	kindCall   = "call"
)

// Server is the callers' interface.
type Server struct {
	cfg     Config
	backend Backend
}

// New returns the interface's handler.
func New(cfg Config, b Backend) http.Handler {
	s := &Server{cfg: cfg, backend: b}
	r := httprouter.New()
	r.POST("/v1/chat/completions", s.guard(kindPrompt, s.chat))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
		r.Handle(method, "/v1/services/:service/*path", s.guard(kindCall, s.service))
	}
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	r.GET("/readyz", s.ready)
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		api.NewError(http.StatusNotFound, api.CodeNotFound, api.RunNo, "no such path").Write(w, time.Now())
	})
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

type handle func(ctx context.Context, w http.ResponseWriter, r *request) *api.Error

// request is an authenticated request with its identifier.
type request struct {
	http      *http.Request
	params    httprouter.Params
	id        string
	workspace *catalog.Workspace
	arrived   time.Time
}

// guard admits, authenticates and bounds a request, and answers with its error.
func (s *Server) guard(kind string, next handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		req := &request{http: r, params: p, id: uuid.NewString(), arrived: time.Now()}
		w.Header().Set(api.HeaderRequestID, req.id)
		claimed := kind == kindCall && r.Header.Get(api.HeaderKey) != "" && r.Method != http.MethodGet
		failure := s.backend.Admit(claimed)
		if failure == nil {
			failure = s.serve(w, req, next)
			s.backend.Finish(kind, failure)
		} else if claimed {
			// An earlier attempt with the key may have run; only the ledger could tell.
			failure.Run = api.RunUnknown
		}
		if failure != nil {
			failure.RequestID = req.id
			failure.Write(w, time.Now())
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *request, next handle) *api.Error {
	if !s.backend.HasConfiguration() {
		return api.NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.RunUnknown, "instance has no configuration yet").WithRetry(time.Now().Add(time.Second))
	}
	key, found := strings.CutPrefix(r.http.Header.Get("Authorization"), "Bearer ")
	if found {
		r.workspace = s.backend.WorkspaceByKey(key)
	}
	if r.workspace == nil {
		return api.NewError(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNo, "bearer key missing or unknown")
	}
	deadline, failure := s.deadline(r)
	if failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(r.http.Context(), deadline)
	defer cancel()
	return next(ctx, w, r)
}

// deadline turns the time that the caller grants into a deadline by this instance's clock.
func (s *Server) deadline(r *request) (time.Time, *api.Error) {
	text := r.http.Header.Get(api.HeaderRequestTimeout)
	if text == "" {
		return r.arrived.Add(s.cfg.Timeout), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 || seconds > s.cfg.Timeout.Seconds() {
		return time.Time{}, api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo,
			"%s must be above 0 and at most %g seconds", api.HeaderRequestTimeout, s.cfg.Timeout.Seconds())
	}
	return r.arrived.Add(time.Duration(seconds * float64(time.Second))), nil
}

func readBody(r *request) ([]byte, *api.Error) {
	body, err := api.ReadBody(r.http.Body, r.http.ContentLength)
	if errors.Is(err, api.ErrTooLarge) {
		return nil, api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.RunNo, "body is larger than %d bytes", api.MaxBodyBytes)
	}
	if err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo, "%v", err)
	}
	return body, nil
}

func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *request) *api.Error {
	body, failure := readBody(r)
	if failure != nil {
		return failure
	}
	chat, err := api.DecodeChat(body)
	if err != nil {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo, "%v", err)
	}
	p := &Prompt{ID: r.id, Workspace: r.workspace, Request: chat, Key: r.http.Header.Get(api.HeaderKey), ArrivedAt: r.arrived}
	if chat.Stream {
		return s.chatStream(ctx, w, p)
	}
	sink := &wholeSink{}
	end, failure := s.backend.Prompt(ctx, p, sink)
	if failure != nil {
		return failure
	}
	text := sink.text.String()
	answer := api.ChatAnswer{
		ID: p.ID, Model: chat.Model, Version: end.Version, Content: text, Usage: end.Usage,
		Choices: []api.Choice{{Message: api.Message{Role: "assistant", Content: text}, FinishReason: "length"}},
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return api.NewError(http.StatusInternalServerError, api.CodeEndpointFailed, api.RunYes, "encode answer: %v", err)
	}
	send(w, http.StatusOK, "application/json", data)
	return nil
}

// send declares the length, so that a cut connection can't pass for a whole answer.
func send(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(api.HeaderRun, string(api.RunYes))
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(data)
}

// chatStream sends server-sent events; after the first one an error goes as an event, since the status has gone out.
func (s *Server) chatStream(ctx context.Context, w http.ResponseWriter, p *Prompt) *api.Error {
	sink := &eventSink{w: w, flusher: http.NewResponseController(w)}
	end, failure := s.backend.Prompt(ctx, p, sink)
	if failure != nil && sink.sent == 0 {
		return failure
	}
	if failure != nil {
		failure.RequestID = p.ID
		sink.event("error", struct {
			Error *api.Error `json:"error"`
		}{failure})
		return nil
	}
	sink.event("done", struct {
		ID      string    `json:"id"`
		Version string    `json:"version"`
		Usage   api.Usage `json:"usage"`
	}{p.ID, end.Version, end.Usage})
	return nil
}

func (s *Server) service(ctx context.Context, w http.ResponseWriter, r *request) *api.Error {
	body, failure := readBody(r)
	if failure != nil {
		return failure
	}
	answer, failure := s.backend.Call(ctx, &Call{
		ID:        r.id,
		Workspace: r.workspace,
		Service:   r.params.ByName("service"),
		Method:    r.http.Method,
		Path:      r.params.ByName("path"),
		Query:     r.http.URL.RawQuery,
		Type:      r.http.Header.Get("Content-Type"),
		Key:       r.http.Header.Get(api.HeaderKey),
		Body:      body,
	})
	if failure != nil {
		return failure
	}
	if answer.Replayed {
		w.Header().Set(api.HeaderReplayed, "true")
	}
	send(w, answer.Status, answer.Type, answer.Body)
	return nil
}
