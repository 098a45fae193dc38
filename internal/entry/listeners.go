package entry

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"gypsumvale/internal/coordination/memory"
	"gypsumvale/internal/metric"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/transport/admin"
	"gypsumvale/internal/transport/caller"
	"gypsumvale/internal/transport/intake"
	"gypsumvale/internal/transport/listeners"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// minCloseTimeout is how long open connections get to finish their answers when the stop timeout has already passed.
	minCloseTimeout = 200 * time.Millisecond
)

// defaultMemoryMB is the memory from which the limits on callers follow if the settings don't name any.
const defaultMemoryMB = 1024

// newGuard returns a guard with the limits of the settings, and publishes what it holds.
func newGuard(cfg *settings.Entry, metrics *metric.Set) *intake.Guard {
	memoryMB := cfg.MemoryMB
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	limits := intake.LimitsFor(memoryMB, cfg.MaxConnections, cfg.BuffersMB, api.MaxBodyBytes)
	g := intake.New(limits, func(reason string) { metrics.Intake.WithLabelValues(reason).Inc() })
	metrics.PublishGauge("caller_connections", "Open connections of callers.", nil, func() float64 { return float64(g.Connections()) })
	for _, u := range memory.Uses() {
		metrics.PublishGauge("held_bytes", "Bytes held for callers by use.", map[string]string{"use": u.String()},
			func() float64 { return float64(g.Used(u)) })
	}
	return g
}

func (n *Node) openListeners() (*listeners.Group, error) {
	l := listeners.New(n.log)
	callers := caller.New(caller.Config{Timeout: n.cfg.RequestTimeout, Guard: n.guard}, (*callerBackend)(n))
	operators := admin.New((*adminBackend)(n), n.metrics.Registry)
	if err := openListener(l, n.cfg.Callers, callers, n.guard.Protect, n.cfg.CallersTLS); err != nil {
		return nil, err
	}
	if err := openListener(l, n.cfg.Operators, operators, resilient, n.cfg.OperatorsTLS); err != nil {
		return nil, err
	}
	return l, nil
}

func resilient(l net.Listener, _ *http.Server) net.Listener { return intake.Resilient(l) }

func openListener(
	l *listeners.Group, address string, h http.Handler, protect func(net.Listener, *http.Server) net.Listener, files settings.TLS,
) error {
	var certificates []tls.Certificate
	if files.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		if err != nil {
			return fmt.Errorf("read certificate for %s: %w", address, err)
		}
		certificates = append(certificates, cert)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if err := l.OpenProtected(address, server, protect, certificates...); err != nil {
		return fmt.Errorf("open listener: %w", err)
	}
	return nil
}
