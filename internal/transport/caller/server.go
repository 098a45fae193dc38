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
	"gypsumvale/internal/transport/intake"
)

// Prompt is a chat request as passed to the backend.
type Prompt struct {
	ID        string
	Workspace *catalog.Workspace
	Request   *api.ChatRequest
	// Key is the caller's idempotency key, or empty if there is none.
	Key       string
	ArrivedAt time.Time
}

// Call is a call to a plain service.
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

// Answer is the complete response of a plain service.
type Answer struct {
	Status int
	Type   string
	Body   []byte
	// Replayed is true if the answer was recorded by an earlier attempt with the same key.
	Replayed bool
}

// Sink receives the tokens of an answer in order.
type Sink interface {
	// Token receives the text of a token. An error means that the caller has disconnected.
	Token(text string) error
	// Sent returns the number of tokens that the caller may have received.
	Sent() int
	// Reset discards the tokens received so far. It may be called only while Sent is zero.
	Reset()
}

// Completion holds what is sent after the last token.
type Completion struct {
	Version string
	Usage   api.Usage
}

// Backend admits, authenticates and serves requests.
type Backend interface {
	Ready() bool
	// HasConfiguration reports whether the instance has loaded a configuration.
	HasConfiguration() bool
	// Admit admits a request and counts it as in flight, or rejects it. hasClaim is true for a service call with an idempotency key. Such a
	// call is admitted even while the instance stops: only the ledger shows whether an earlier attempt with the key has run, which a
	// rejection must state.
	Admit(hasClaim bool) *api.Error
	// Finish ends a request that Admit admitted. apiErr is nil if it succeeded.
	Finish(kind string, apiErr *api.Error)
	WorkspaceByKey(key string) *catalog.Workspace
	// NotFound returns the error for a caller that names what the configuration lacks: the given one, or that the configuration may be out of
	// date.
	NotFound(apiErr *api.Error) *api.Error
	Prompt(ctx context.Context, p *Prompt, s Sink) (*Completion, *api.Error)
	Call(ctx context.Context, c *Call) (*Answer, *api.Error)
}

// Config sets the limits of requests.
type Config struct {
	// Timeout is the longest time that a request may take. A caller may request a shorter one.
	Timeout time.Duration
	// Guard keeps the bodies of requests within the process's memory.
	Guard Guard
}

// Guard reads the bodies of requests.
type Guard interface {
	// ReadRequest reads the body of a request to its end by a deadline. The caller releases the memory.
	ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *intake.Held, error)
}

// Kinds of requests, used as metric labels.
const (
	kindPrompt = "prompt"
	kindCall   = "call"
)

// Server serves the API for callers.
type Server struct {
	cfg     Config
	backend Backend
}

// New returns the API's handler.
func New(cfg Config, b Backend) http.Handler {
	s := &Server{cfg: cfg, backend: b}
	r := httprouter.New()
	r.POST("/v1/chat/completions", s.guard(kindPrompt, s.chat))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
		r.Handle(method, "/v1/services/:service/*path", s.guard(kindCall, s.service))
	}
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	r.GET("/readyz", s.ready)
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		intake.Refuse(w, r, func() {
			api.NewError(http.StatusNotFound, api.CodeNotFound, api.RunNo, "no such path").Write(w, time.Now())
		})
	})
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

type handler func(ctx context.Context, w http.ResponseWriter, r *request) *api.Error

// request is an HTTP request with its identifier, its time of arrival and, once authenticated, its workspace.
type request struct {
	http      *http.Request
	params    httprouter.Params
	id        string
	workspace *catalog.Workspace
	arrived   time.Time
	// bodyRead is true once the body has been read to its end, and held is the memory that it holds.
	bodyRead bool
	held     *intake.Held
}

// guard wraps a handler: it admits the request, has serve authenticate it and set its deadline, and writes the error response.
func (s *Server) guard(kind string, next handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		req := &request{http: r, params: p, id: uuid.NewString(), arrived: time.Now()}
		defer func() { req.held.Release() }()
		w.Header().Set(api.HeaderRequestID, req.id)
		hasClaim := kind == kindCall && r.Header.Get(api.HeaderKey) != "" && r.Method != http.MethodGet
		apiErr := s.backend.Admit(hasClaim)
		if apiErr == nil {
			apiErr = s.serve(w, req, next)
			s.backend.Finish(kind, apiErr)
		} else if hasClaim {
			// An earlier attempt with the same key may have run. Only the ledger records that.
			apiErr.Run = api.RunUnknown
		}
		if apiErr != nil {
			apiErr.RequestID = req.id
			write := func() { apiErr.Write(w, time.Now()) }
			if req.bodyRead {
				write()
				return
			}
			intake.Refuse(w, r, write)
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *request, next handler) *api.Error {
	if !s.backend.HasConfiguration() {
		return api.NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.RunUnknown, "instance has no configuration yet").WithRetry(time.Now().Add(time.Second))
	}
	key, found := strings.CutPrefix(r.http.Header.Get("Authorization"), "Bearer ")
	if found {
		r.workspace = s.backend.WorkspaceByKey(key)
	}
	if r.workspace == nil {
		unauthorized := api.NewError(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNo, "bearer key missing or unknown")
		if !found {
			return unauthorized
		}
		return s.backend.NotFound(unauthorized)
	}
	deadline, apiErr := s.deadline(r)
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := context.WithDeadline(r.http.Context(), deadline)
	defer cancel()
	return next(ctx, w, r)
}

// deadline converts the caller's request timeout into a deadline on this instance's clock.
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

// memoryRetryDelay is the Retry-After delay of a request that found no memory. A crowd that holds the memory is refused within this time.
const memoryRetryDelay = time.Second

// readBody reads the body within the process's memory, until the deadline of the request.
func (s *Server) readBody(ctx context.Context, w http.ResponseWriter, r *request) ([]byte, *api.Error) {
	deadline, _ := ctx.Deadline()
	run := api.RunNo
	if r.http.Header.Get(api.HeaderKey) != "" {
		// An earlier attempt with the same key may have run.
		run = api.RunUnknown
	}
	body, held, err := s.cfg.Guard.ReadRequest(w, r.http, api.MaxBodyBytes, deadline)
	switch {
	case err == nil:
		r.bodyRead, r.held = true, held
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.RunNo, "body is larger than %d bytes", api.MaxBodyBytes)
	case errors.Is(err, intake.ErrNoMemory):
		return nil, api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, run, "no memory for the body").
			WithRetry(time.Now().Add(memoryRetryDelay))
	case errors.Is(err, intake.ErrLate):
		return nil, api.NewError(http.StatusRequestTimeout, api.CodeDeadline, run, "body incomplete at the deadline")
	}
	return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo, "read body: %v", err)
}

func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *request) *api.Error {
	body, apiErr := s.readBody(ctx, w, r)
	if apiErr != nil {
		return apiErr
	}
	chat, err := api.DecodeChat(body)
	if err != nil {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo, "%v", err)
	}
	p := &Prompt{ID: r.id, Workspace: r.workspace, Request: chat, Key: r.http.Header.Get(api.HeaderKey), ArrivedAt: r.arrived}
	if chat.Stream {
		return s.chatStream(ctx, w, p)
	}
	sink := &bufferSink{}
	completion, apiErr := s.backend.Prompt(ctx, p, sink)
	if apiErr != nil {
		return apiErr
	}
	text := sink.text.String()
	answer := api.ChatAnswer{
		ID: p.ID, Model: chat.Model, Version: completion.Version, Content: text, Usage: completion.Usage,
		Choices: []api.Choice{{Message: api.Message{Role: "assistant", Content: text}, FinishReason: "length"}},
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return api.NewError(http.StatusInternalServerError, api.CodeEndpointFailed, api.RunYes, "encode answer: %v", err)
	}
	writeAnswer(w, http.StatusOK, "application/json", data)
	return nil
}

// writeAnswer writes a response with a Content-Length, so that a caller detects a truncated body.
func writeAnswer(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(api.HeaderRun, string(api.RunYes))
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(data)
}

// chatStream answers with server-sent events. After the first token an error is sent as an event, since the status has already been sent.
func (s *Server) chatStream(ctx context.Context, w http.ResponseWriter, p *Prompt) *api.Error {
	sink := &eventSink{w: w, flusher: http.NewResponseController(w)}
	completion, apiErr := s.backend.Prompt(ctx, p, sink)
	if apiErr != nil && sink.sent == 0 {
		return apiErr
	}
	if apiErr != nil {
		apiErr.RequestID = p.ID
		sink.event("error", struct {
			Error *api.Error `json:"error"`
		}{apiErr})
		return nil
	}
	sink.event("done", struct {
		ID      string    `json:"id"`
		Version string    `json:"version"`
		Usage   api.Usage `json:"usage"`
	}{p.ID, completion.Version, completion.Usage})
	return nil
}

func (s *Server) service(ctx context.Context, w http.ResponseWriter, r *request) *api.Error {
	body, apiErr := s.readBody(ctx, w, r)
	if apiErr != nil {
		return apiErr
	}
	answer, apiErr := s.backend.Call(ctx, &Call{
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
	if apiErr != nil {
		return apiErr
	}
	if answer.Replayed {
		w.Header().Set(api.HeaderReplayed, "true")
	}
	writeAnswer(w, answer.Status, answer.Type, answer.Body)
	return nil
}
