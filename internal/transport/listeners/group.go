package listeners

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/transport/intake"
)

// Group is a set of HTTP servers that start and stop together.
type Group struct {
	log       *event.Log
	servers   []*http.Server
	listeners []net.Listener
	wg        conc.WaitGroup
}

// New returns an empty group.
func New(log *event.Log) *Group { return &Group{log: log} }

// Open listens on an address for a server that Serve starts later. Without certificates the server uses plain HTTP.
func (g *Group) Open(address string, server *http.Server, certificates ...tls.Certificate) error {
	resilient := func(l net.Listener, _ *http.Server) net.Listener { return intake.Resilient(l) }
	return g.OpenProtected(address, server, resilient, certificates...)
}

// OpenProtected is Open for a server whose connections a function protects, such as intake.Guard.Protect.
func (g *Group) OpenProtected(
	address string, server *http.Server, protect func(net.Listener, *http.Server) net.Listener, certificates ...tls.Certificate,
) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	listener = protect(listener, server)
	if len(certificates) > 0 {
		listener = tls.NewListener(listener, &tls.Config{Certificates: certificates, MinVersion: tls.VersionTLS12})
	}
	g.listeners = append(g.listeners, listener)
	g.servers = append(g.servers, server)
	return nil
}

// Serve starts all servers.
func (g *Group) Serve() {
	for i, server := range g.servers {
		listener := g.listeners[i]
		g.wg.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				g.log.Warn(event.ListenerFailed, "HTTP server failed", zap.Error(err))
			}
		})
	}
}

// Close shuts the servers down: it waits up to the remaining time for requests in flight, then closes their connections.
func (g *Group) Close(remaining time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(0, remaining))
	defer cancel()
	for _, server := range g.servers {
		if err := server.Shutdown(ctx); err != nil {
			// The time is up: close the remaining connections. Each request logs its own end.
			_ = server.Close()
		}
	}
	g.wg.Wait()
}
