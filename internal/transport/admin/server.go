package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/catalog"
)

// Backend is what operators drive.
type Backend interface {
	// Operator returns the name of the operator that a token belongs to, or "".
	Operator(token string) string
	OperatorRefused(address string)
	SubmitTicket(ctx context.Context, t *ticket.Ticket) (catalog.Revision, error)
	Audit(ctx context.Context, limit int) ([]ticket.Record, error)
	State() State
	Snapshot() *catalog.Snapshot
	Instances() []Instance
	Endpoints() []Endpoint
	Stores() []Store
	// BlockPeers drops traffic with some peers, for tests of partitions.
	BlockPeers(peers []string)
}

const (
	ticketTimeout = 15 * time.Second
	auditTimeout  = 5 * time.Second
	auditDefault  = 50
	auditMost     = 5000
	waitMost      = 30 * time.Second
	waitPoll      = 20 * time.Millisecond
	objectsMost   = 1000
)

type server struct {
	backend Backend
}

// New returns the interface's handler; metrics and health need no token.
func New(b Backend, registry *prometheus.Registry) http.Handler {
	s := &server{backend: b}
	r := httprouter.New()
	r.POST("/admin/v1/tickets", s.authorized(s.submit))
	r.GET("/admin/v1/audit", s.authorized(s.audit))
	r.GET("/admin/v1/state", s.authorized(s.state))
	r.GET("/admin/v1/objects", s.authorized(s.objects))
	r.GET("/admin/v1/instances", s.authorized(s.instances))
	r.GET("/admin/v1/endpoints", s.authorized(s.endpoints))
	r.GET("/admin/v1/stores", s.authorized(s.stores))
	r.GET("/admin/v1/wait", s.authorized(s.wait))
	r.POST("/admin/v1/cut", s.authorized(s.cut))
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	r.GET("/readyz", s.ready)
	return r
}

type handle func(w http.ResponseWriter, r *http.Request, operator string)

func (s *server) authorized(next handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator := s.backend.Operator(token)
		if operator == "" {
			s.backend.OperatorRefused(r.RemoteAddr)
			fail(w, http.StatusUnauthorized, api.CodeUnauthorized, "operator's token missing or unknown")
			return
		}
		next(w, r, operator)
	}
}

func fail(w http.ResponseWriter, status int, code api.Code, format string, args ...any) {
	api.NewError(status, code, api.RunNo, format, args...).Write(w, time.Now())
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.backend.State().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, operator string) {
	body, err := api.ReadBody(r.Body, r.ContentLength)
	if errors.Is(err, api.ErrTooLarge) {
		fail(w, http.StatusRequestEntityTooLarge, api.CodeTooLarge, "ticket is larger than %d bytes", api.MaxBodyBytes)
		return
	}
	if err != nil {
		fail(w, http.StatusBadRequest, api.CodeBadRequest, "%v", err)
		return
	}
	t, err := DecodeTicket(body)
	if err != nil {
		fail(w, http.StatusBadRequest, api.CodeTicketInvalid, "%v", err)
		return
	}
	t.Operator = operator
	ctx, cancel := context.WithTimeout(r.Context(), ticketTimeout)
	defer cancel()
	revision, err := s.backend.SubmitTicket(ctx, t)
	if err != nil {
		ticketError(t, err).Write(w, time.Now())
		return
	}
	reply(w, TicketAnswer{Number: t.Number, Revision: revision, Result: ticket.ResultAccepted})
}

// DecodeTicket reads a ticket; states are compacted, so that white space doesn't make a repeat look different.
func DecodeTicket(body []byte) (*ticket.Ticket, error) {
	t := &ticket.Ticket{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return nil, errors.Wrap(err, "ticket is not valid JSON")
	}
	for i, o := range t.Objects {
		if o == nil {
			return nil, errors.Errorf("object %d is null", i)
		}
		var compact bytes.Buffer
		if len(o.State) > 0 {
			if err := json.Compact(&compact, o.State); err != nil {
				return nil, errors.Wrap(err, "compact state")
			}
			o.State = compact.Bytes()
		}
		o.Ticket = 0
	}
	return t, nil
}

func ticketError(t *ticket.Ticket, err error) *api.Error {
	switch {
	case errors.Is(err, ticket.ErrInvalid):
		return api.NewError(http.StatusBadRequest, api.CodeTicketInvalid, api.RunNo, "ticket %d: %v", t.Number, err)
	case errors.Is(err, ticket.ErrOvertaken):
		return api.NewError(http.StatusConflict, api.CodeTicketOvertaken, api.RunNo, "ticket %d: %v", t.Number, err)
	case errors.Is(err, ticket.ErrNumberReused):
		return api.NewError(http.StatusConflict, api.CodeTicketReused, api.RunNo, "ticket %d: %v", t.Number, err)
	}
	failure := api.NewError(http.StatusServiceUnavailable, api.CodePlatform, api.RunUnknown, "ticket %d may have been accepted; send it again: %v", t.Number, err)
	return failure.WithRetry(time.Now().Add(time.Second))
}

func (s *server) audit(w http.ResponseWriter, r *http.Request, _ string) {
	limit, failure := intParameter(r, "limit", auditDefault, auditMost)
	if failure != nil {
		failure.Write(w, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), auditTimeout)
	defer cancel()
	records, err := s.backend.Audit(ctx, limit)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, api.CodePlatform, "audit trail can't be read: %v", err)
		return
	}
	reply(w, records)
}

func intParameter(r *http.Request, name string, otherwise, most int) (int, *api.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		return 0, api.NewError(http.StatusBadRequest, api.CodeBadRequest, api.RunNo, "%s must be 0 to %d", name, most)
	}
	return n, nil
}

func (s *server) state(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, s.backend.State())
}

func (s *server) instances(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, s.backend.Instances())
}

func (s *server) endpoints(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, s.backend.Endpoints())
}

func (s *server) stores(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, s.backend.Stores())
}

// objects lists the objects of the configuration in force, by kind and name, from one name on.
func (s *server) objects(w http.ResponseWriter, r *http.Request, _ string) {
	kind, from := r.URL.Query().Get("kind"), r.URL.Query().Get("from")
	list := []*catalog.Object{}
	for id, o := range s.backend.Snapshot().Objects {
		if !o.Deleted && (kind == "" || string(id.Kind) == kind) && id.String() >= from {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].String() < list[j].String() })
	reply(w, list[:min(len(list), objectsMost)])
}

// wait answers with the state once a revision is in force here, or at the end of the time given.
func (s *server) wait(w http.ResponseWriter, r *http.Request, _ string) {
	revision, failure := intParameter(r, "revision", 0, int(^uint(0)>>1))
	if failure != nil {
		failure.Write(w, time.Now())
		return
	}
	deadline := time.Now().Add(waitMost)
	for int(s.backend.State().Revision) < revision && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(waitPoll)
	}
	reply(w, s.backend.State())
}

func (s *server) cut(w http.ResponseWriter, r *http.Request, _ string) {
	var body struct {
		Peers []string `json:"peers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, api.CodeBadRequest, "%v", err)
		return
	}
	s.backend.BlockPeers(body.Peers)
	reply(w, body)
}
