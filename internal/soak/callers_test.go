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

// request is one try of a caller, and what came of it.
type request struct {
	id, path, body string
	entry          *member
	key, tenant    string
	sent, answered time.Time
	deadline       time.Time
	// left says that the caller gave up early.
	left bool

	// status is zero if there was no answer.
	status int
	seal   string
	answer string
	// whole says that the answer came to its end.
	whole bool
	fault error
}

// caller sends one request after another over connections that it keeps.
type caller struct {
	site     *site
	operator *operator
	random   *rand.Rand
	client   *http.Client
	id, sent int
	requests []*request
}

func newCaller(s *site, o *operator, seed uint64, id int) *caller {
	// Each caller keeps its connections until the entries' processes are gone.
	return &caller{
		site: s, operator: o, id: id, random: rand.New(rand.NewPCG(seed, uint64(id))),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

const (
	callerCount = 10
	// callerPause is the longest pause of a caller between requests.
	callerPause = 60 * time.Millisecond
	// longBody makes some requests longer than what one read takes.
	longBody = 100 << 10
)

func (c *caller) draw() *request {
	c.sent++
	r := &request{
		id: fmt.Sprintf("c%d-%d", c.id, c.sent), path: pick(c.random, []string{readPath, bookPath, redraftPath, redraftPath, briefPath}),
		entry: pick(c.random, c.site.entries),
	}
	r.body = "body of " + r.id
	if c.random.IntN(20) == 0 {
		r.body += strings.Repeat(".", c.random.IntN(longBody))
	}
	r.key, r.tenant = c.operator.key(c.random)
	return r
}

// send makes the request and notes what came of it.
func (c *caller) send(r *request, patience time.Duration) {
	r.sent = time.Now()
	r.deadline = r.sent.Add(patience)
	c.requests = append(c.requests, r)
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline.Add(lateSlack))
	defer cancel()
	if c.random.IntN(10) == 0 {
		r.left = true
		early, hangUp := context.WithTimeout(ctx, time.Duration(1+c.random.IntN(80))*time.Millisecond)
		defer hangUp()
		ctx = early
	}
	defer func() { r.answered = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entry.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		r.fault = err
		return
	}
	// A body that can't be read again keeps the library from sending a request twice.
	req.GetBody = nil
	req.Host = hosted.SiteHostname
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Credential", r.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	if r.path == redraftPath || r.path == briefPath {
		req.Header.Set("Model", hosted.SiteModel)
		req.Header.Set("Token-Usage", fmt.Sprintf("1500,%d", streamEvents))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:1000,%s:500", c.random.IntN(20), r.id))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.fault = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	data, err := io.ReadAll(resp.Body)
	r.answer, r.whole, r.fault = string(data), err == nil, err
}

// run sends until the end.
func (c *caller) run(end time.Time) {
	for time.Now().Before(end) {
		c.send(c.draw(), time.Duration(300+c.random.IntN(2700))*time.Millisecond)
		time.Sleep(time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

// load runs callers until the end and returns all their requests.
func (s *site) load(o *operator, seed uint64, end time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	for id := range callerCount {
		c := newCaller(s, o, seed, id)
		s.callers = append(s.callers, c)
		wg.Go(func() { c.run(end) })
	}
	return &wg
}

// requests are all requests of all callers, once these have ended.
func (s *site) requests() []*request {
	var list []*request
	for _, c := range s.callers {
		list = append(list, c.requests...)
	}
	return list
}
