package entry

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"time"

	"gypsumvale/internal/settings"
	"gypsumvale/internal/transport/admin"
	"gypsumvale/internal/transport/caller"
	"gypsumvale/internal/transport/listeners"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// minCloseTimeout is how long open connections get to finish their answers when the stop timeout has already passed.
	minCloseTimeout = 200 * time.Millisecond
)

func (n *Node) openListeners() (*listeners.Group, error) {
	l := listeners.New(n.log)
	callers := caller.New(caller.Config{Timeout: n.cfg.RequestTimeout}, (*callerBackend)(n))
	operators := admin.New((*adminBackend)(n), n.metrics.Registry)
	if err := openListener(l, n.cfg.Callers, callers, n.cfg.CallersTLS); err != nil {
		return nil, err
	}
	if err := openListener(l, n.cfg.Operators, operators, n.cfg.OperatorsTLS); err != nil {
		return nil, err
	}
	return l, nil
}

func openListener(l *listeners.Group, address string, h http.Handler, files settings.TLS) error {
	var certificates []tls.Certificate
	if files.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		if err != nil {
			return fmt.Errorf("read certificate for %s: %w", address, err)
		}
		certificates = append(certificates, cert)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if err := l.Open(address, server, certificates...); err != nil {
		return fmt.Errorf("open listener: %w", err)
	}
	return nil
}
