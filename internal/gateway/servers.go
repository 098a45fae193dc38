package gateway

import (
	"fmt"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/transport/listeners"
)

const (
	// headerTimeout and idleTimeout exceed the operators' usual limits, since a shorter limit here would cut off well-behaved callers.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes exceeds the operators' usual limit.
	maxHeaderBytes = 64 << 10
)

func (n *Node) openServers() (*listeners.Group, error) {
	g := listeners.New(n.log)
	if err := g.OpenProtected(n.cfg.Callers, newServer(n), n.guard.Protect); err != nil {
		return nil, fmt.Errorf("serve callers: %w", err)
	}
	if n.cfg.Forwards != "" {
		if err := g.OpenProtected(n.cfg.Forwards, newServer(http.HandlerFunc(n.serveForwarded)), n.guard.Protect); err != nil {
			return nil, fmt.Errorf("serve peers' requests: %w", err)
		}
	}
	if err := g.Open(n.cfg.Readiness, newServer(http.HandlerFunc(n.serveReadiness))); err != nil {
		return nil, fmt.Errorf("serve readiness: %w", err)
	}
	if n.cfg.Metrics == "" {
		return g, nil
	}
	if err := g.Open(n.cfg.Metrics, newServer(promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{}))); err != nil {
		// Serving requests without metrics is better than not serving them.
		n.log.Warn(event.ListenerFailed, "failed to open the metrics port; serving without metrics", zap.Error(err))
	}
	return g, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// The library's messages about callers' connections are of no use to operators: every request has a log line of its own.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
