package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// request is one request of a caller and its result.
type request struct {
	id, path, body string
	// parts names the parts of the prompt.
	parts          string
	entry          *node
	key, workspace string
	sent, finished time.Time
	deadline       time.Time
	// abandoned is true if the caller cancelled the request early.
	abandoned bool
	// began is the request that brought the stream's first event, if this one takes it up after lastEvent, or nil.
	began     *request
	lastEvent int
	// events is the number of events in a whole stream.
	events int
	// hangUp is when the caller closes its connection, or zero if it waits for the whole answer.
	hangUp time.Duration

	// status is zero if there was no response.
	status   int
	seal     string
	received string
	// complete is true if the response body was read to its end.
	complete bool
	err      error
}

// caller sends one request at a time over persistent connections.
type caller struct {
	site     *site
	operator *operator
	random   *rand.Rand
	// takeUps chooses entries for take-ups, so that these don't change what a seed draws besides.
	takeUps       *rand.Rand
	client        *http.Client
	id, sentCount int
	requests      []*request
}

func newCaller(s *site, o *operator, seed uint64, id int) *caller {
	// Connections stay open until the entries' processes end.
	return &caller{
		site: s, operator: o, id: id, random: rand.New(rand.NewPCG(seed, uint64(id))),
		takeUps: rand.New(rand.NewPCG(seed, uint64(callerCount+id))),
		client:  &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

const (
	callerCount = 10
	// maxCallerPause is the longest pause between two requests of a caller.
	maxCallerPause = 60 * time.Millisecond
	// maxPadding makes some request bodies larger than a single read.
	maxPadding = 100 << 10
)

func (c *caller) nextRequest() *request {
	c.sentCount++
	r := &request{
		id: fmt.Sprintf("c%d-%d", c.id, c.sentCount), path: pick(c.random, []string{readPath, bookPath, redraftPath, redraftPath, briefPath}),
		entry: pick(c.random, c.site.entries), events: streamEvents,
	}
	r.body = "body of " + r.id
	if c.random.IntN(20) == 0 {
		r.body += strings.Repeat(".", c.random.IntN(maxPadding))
	}
	r.key, r.workspace = c.operator.key(c.random)
	return r
}

// drawHangUp makes one request in ten one whose caller leaves early.
func (c *caller) drawHangUp(r *request) {
	if c.random.IntN(10) == 0 {
		r.hangUp = time.Duration(1+c.random.IntN(80)) * time.Millisecond
	}
}

// send sends the request and records its result.
func (c *caller) send(r *request, timeout time.Duration) {
	r.sent = time.Now()
	r.deadline = r.sent.Add(timeout)
	c.requests = append(c.requests, r)
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline.Add(deadlineTolerance))
	defer cancel()
	if r.hangUp > 0 {
		r.abandoned = true
		cancelled, cancelEarly := context.WithTimeout(ctx, r.hangUp)
		defer cancelEarly()
		ctx = cancelled
	}
	defer func() { r.finished = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entry.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		r.err = err
		return
	}
	// Without GetBody, net/http can't send a request a second time by itself.
	req.GetBody = nil
	req.Host = hosted.SiteHostname
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Credential", r.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if r.stream() {
		req.Header.Set("Model", hosted.SiteModel)
		req.Header.Set("Token-Usage", fmt.Sprintf("1500,%d", r.events))
		if r.began == nil {
			r.parts = fmt.Sprintf("a%d:1000,%s:500", c.random.IntN(20), r.id)
		} else {
			r.parts = r.began.parts
			req.Header.Set("Resumes", r.began.id)
			req.Header.Set("Last-Event-Id", fmt.Sprint(r.lastEvent))
		}
		req.Header.Set("Prompt-Prefix", r.parts)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	data, err := io.ReadAll(resp.Body)
	r.received, r.complete, r.err = string(data), err == nil, err
}

// run sends requests until the given time.
func (c *caller) run(end time.Time) {
	for time.Now().Before(end) {
		r := c.nextRequest()
		timeout := time.Duration(300+c.random.IntN(2700)) * time.Millisecond
		c.drawHangUp(r)
		c.send(r, timeout)
		c.takeUp(r)
		time.Sleep(time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

// startCallers starts callers that send requests until the given time, and returns the group to wait for.
func (s *site) startCallers(o *operator, seed uint64, end time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	for id := range callerCount {
		c := newCaller(s, o, seed, id)
		s.callers = append(s.callers, c)
		wg.Go(func() { c.run(end) })
	}
	return &wg
}

// requests returns all requests of all callers; the callers must have ended.
func (s *site) requests() []*request {
	var list []*request
	for _, c := range s.callers {
		list = append(list, c.requests...)
	}
	return list
}
