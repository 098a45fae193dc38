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
	stopTime      = 2 * time.Second
	headerTimeout = 10 * time.Second
)

// Partition cuts callers off by the instance name that they give as their user agent.
type Partition struct {
	mu     sync.Mutex
	cut    map[string]bool
	lifted chan struct{}
}

// Handler lets a handler hear only callers that aren't cut off; the others wait in vain, as behind a broken network.
//
// The cut is set with POST /cut and a list of names.
func (g *Partition) Handler(next http.Handler) http.Handler {
	g.lifted = make(chan struct{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/cut" {
			g.set(w, r)
			return
		}
		g.mu.Lock()
		cut, lifted := g.cut[r.UserAgent()], g.lifted
		g.mu.Unlock()
		if !cut {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case <-lifted:
		case <-r.Context().Done():
		}
		Sever(w)
	})
}

func (g *Partition) set(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From []string `json:"from"`
	}
	if !Decode(w, r, &body) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = make(map[string]bool)
	for _, name := range body.From {
		g.cut[name] = true
	}
	close(g.lifted)
	g.lifted = make(chan struct{})
}

// Serve answers on an address until the context ends; address ":0" forms pick a free port, told through ready.
func Serve(ctx context.Context, address string, h http.Handler, ready func(string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	if ready != nil {
		ready(listener.Addr().String())
	}
	gate := &Partition{}
	server := &http.Server{Handler: gate.Handler(h), ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	<-stopped
	return nil
}

// Reply sends a value as JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

// Decode reads a JSON body, or answers 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// SeverIf closes the connections of callers while a condition holds, as a dead process would.
func SeverIf(dead func() bool, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if dead() {
			Sever(w)
			return
		}
		next(w, r, p)
	}
}

// Sever closes the caller's connection without an answer.
func Sever(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
