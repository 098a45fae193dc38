package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
)

const (
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 10 * time.Second
)

// Partition simulates a network partition from selected callers, identified by the instance name in their User-Agent header.
type Partition struct {
	mu      sync.Mutex
	cut     map[string]bool
	changed chan struct{}
}

// Handler returns a handler that passes on requests, except those of callers that are cut off. Their requests hang until the set of
// such callers changes, and then their connections are closed without an answer.
//
// POST /cut replaces the set of callers that are cut off.
func (p *Partition) Handler(next http.Handler) http.Handler {
	p.changed = make(chan struct{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/cut" {
			p.setCut(w, r)
			return
		}
		p.mu.Lock()
		cut, changed := p.cut[r.UserAgent()], p.changed
		p.mu.Unlock()
		if !cut {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		Sever(w)
	})
}

func (p *Partition) setCut(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From []string `json:"from"`
	}
	if !Decode(w, r, &body) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = make(map[string]bool)
	for _, name := range body.From {
		p.cut[name] = true
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Serve serves HTTP on an address until the context ends. It calls ready, if not nil, with the address that it listens on; with port 0
// in the address, the kernel chooses a free port.
func Serve(ctx context.Context, address string, h http.Handler, ready func(string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	if ready != nil {
		ready(listener.Addr().String())
	}
	partition := &Partition{}
	server := &http.Server{Handler: partition.Handler(h), ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	<-stopped
	return nil
}

// Reply sends a value as a JSON response.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// Decode reads a JSON body into v. If that fails, it answers 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// SeverIf severs the connections of callers while a condition holds, as if the process were dead.
func SeverIf(dead func() bool, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if dead() {
			Sever(w)
			return
		}
		next(w, r, p)
	}
}

// Sever closes the caller's connection without a response.
func Sever(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
