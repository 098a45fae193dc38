package gateway_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/hosted"
)

// fullLink is an entry's own link to endpoints. While it is full, nothing arrives on its connections, and new ones take dialDelay.
type fullLink struct {
	full      atomic.Bool
	dialDelay time.Duration
}

func (l *fullLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.full.Load() {
		select {
		case <-time.After(l.dialDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{conn, l}, nil
}

type linkConn struct {
	net.Conn
	link *fullLink
}

func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.link.full.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// An entry whose own link is full for a second, as that of a small leader is beside a configuration, took endpoints for vanished and ended streams
// that these went on with.
func TestStreamsWhileOwnLinkIsFull(t *testing.T) {
	t.Parallel()
	// expectWhole has a stream meet a full link and expects that its caller gets it whole, from one run.
	expectWhole := func(configure func(*settings.Hosted)) {
		link := &fullLink{dialDelay: 300 * time.Millisecond}
		s := newSite()
		s.dial = link.dial
		s.putConfiguration(defaultSpec())
		for _, id := range []string{"llm-0", "llm-1"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "llm", Model: testModel, Version: 1, Events: 30, Work: 30 * time.Millisecond})
		}
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxRevocationDelay = time.Minute
			configure(cfg)
		})
		e.expectReady(true)
		done := make(chan response, 1)
		go func() { done <- s.send(e, http.MethodPost, "/redraft/x", "a body") }()
		eventually("the stream runs", func() bool { return len(s.endpoints[0].Runs())+len(s.endpoints[1].Runs()) > 0 })
		time.Sleep(200 * time.Millisecond)
		link.full.Store(true)
		time.Sleep(1200 * time.Millisecond)
		link.full.Store(false)
		a := <-done
		s.expectAnswered(a)
		So(len(s.runs(a.id)), ShouldEqual, 1)
	}
	Convey("a stream whose entry has no path but a full one for a moment is whole", t, func() {
		Convey("if it could be resumed elsewhere", func() { expectWhole(func(*settings.Hosted) {}) })
		Convey("if the retry budget is used up", func() {
			expectWhole(func(cfg *settings.Hosted) { cfg.RetryShare, cfg.RetryReserve = 0, 0 })
		})
	})
}
