package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	// expectWhole has a stream meet a full link, beside a number of other requests, and expects that its caller gets it whole, from one run.
	expectWhole := func(attempts, others int, configure func(*settings.Hosted)) {
		const events, streamTimeout = 30, 20 * time.Second
		link := &fullLink{dialDelay: 300 * time.Millisecond}
		s := newSite()
		s.dial = link.dial
		spec := defaultSpec()
		spec.Routes[2].MaxAttempts, spec.Routes[2].TimeoutMs = attempts, int(streamTimeout.Milliseconds())
		s.putConfiguration(spec)
		for _, id := range []string{"llm-0", "llm-1"} {
			s.addEndpoint(hosted.EndpointConfig{ID: id, Service: "llm", Model: testModel, Version: 1, Events: events, Work: 30 * time.Millisecond})
		}
		e := s.addEntryWith(func(cfg *settings.Hosted) {
			cfg.MaxRevocationDelay = time.Minute
			configure(cfg)
		})
		e.expectReady(true)
		const id = "full-link"
		c := e.dial()
		So(c.conn.SetDeadline(time.Now().Add(streamTimeout)), ShouldBeNil)
		c.send(id, "/redraft/x", fmt.Sprintf("Model: %s\r\nToken-Usage: 1000,30\r\nPrompt-Prefix: a1:600,b2:300\r\nDeadline-Ms: %d\r\n", testModel,
			streamTimeout.Milliseconds()))
		resp, err := http.ReadResponse(c.r, nil)
		So(err, ShouldBeNil)
		Reset(func() { _ = resp.Body.Close() })
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		begin := make([]byte, 100)
		_, err = io.ReadFull(resp.Body, begin)
		So(err, ShouldBeNil)
		link.full.Store(true)
		var wg sync.WaitGroup
		for range others {
			wg.Go(func() { s.send(e, http.MethodPost, "/redraft/x", "another body") })
		}
		time.Sleep(1200 * time.Millisecond)
		link.full.Store(false)
		rest, err := io.ReadAll(resp.Body)
		wg.Wait()
		So(err, ShouldBeNil)
		So(string(begin)+string(rest), ShouldEqual, hosted.Stream(events))
		So(len(s.runs(id)), ShouldEqual, 1)
	}
	Convey("a stream whose entry has no path but a full one for a moment is whole", t, func() {
		Convey("if it could be resumed elsewhere", func() { expectWhole(2, 0, func(*settings.Hosted) {}) })
		Convey("if the retry budget is used up", func() {
			expectWhole(2, 0, func(cfg *settings.Hosted) { cfg.RetryShare, cfg.RetryReserve = 0, 0 })
		})
		Convey("if it may not be sent again, and other requests find that no endpoint can be reached", func() {
			expectWhole(1, 4, func(*settings.Hosted) {})
		})
	})
}
