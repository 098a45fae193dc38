//go:build review

// Command rig runs the scripts of the second review: it starts a small deployment, disturbs it, and judges what clients and replicas have seen.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

// site is a small deployment: the platform's store, replicas and entries.
type site struct {
	store     *hosted.Store
	storeAddr string
	dir       string
	entries   []*entry
	record    *recorder

	mu sync.Mutex
	// killed are the names of the entries that the run has killed.
	killed map[string]bool
}

// excuse notes that an entry isn't in touch any more, since the run ends it.
func (s *site) excuse(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed == nil {
		s.killed = make(map[string]bool)
	}
	s.killed[e.name] = true
}

// excused reports whether a request was sent to an entry that the run has ended.
func (s *site) excused(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed[entryOf(id)]
}

// entry is one process of the system.
type entry struct {
	name, zone                        string
	callers, readiness, peers, metric string
	forwards                          string
	cmd                               *exec.Cmd
	ended                             chan struct{}
}

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// freeAddress returns an address on which nothing listens. Its port is below those that outgoing connections usually take.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

// newSite starts the platform's store.
func newSite(record *recorder) *site {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	s := &site{store: hosted.NewStore(), dir: dir, record: record}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.Handler()) }()
	return s
}

// configure writes the operator's configuration.
func (s *site) configure(c hosted.Configuration) {
	if c.Tenants == nil {
		c.Tenants = []hosted.Tenant{}
	}
	if err := s.store.Put("op/config", c); err != nil {
		fail("configuration: %v", err)
	}
}

// settings are those that the platform fills in for a small site, by the template of the deploy file.
const settings = `[instance]
edge = hosted
name = %s
zone = %s
callers = %s
readiness = %s
peers = %s
forwards = %s
metrics = %s

[platform]
store = %s

[bounds]
revocation = 5000ms
apply = 2000ms
leaving = 2000ms
grace = 8s
lease = 3000ms
old_weights = 8000ms
retry_share = 0.2
retry_slack = 126

[engine]
prefill_tokens_per_second = 60000
loads = 4

[process]
memory = 206
threads = 1
processor = 0.272
link = 700.0

[log]
level = info
`

// addEntry prepares an entry with the given store address.
func (s *site) addEntry(name, zone, store string) *entry {
	e := &entry{
		name: name, zone: zone, callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), forwards: freeAddress(), metric: freeAddress(),
	}
	text := fmt.Sprintf(settings, name, zone, e.callers, e.readiness, e.peers, e.forwards, e.metric, store)
	if err := os.WriteFile(filepath.Join(s.dir, name+".ini"), []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	s.entries = append(s.entries, e)
	return e
}

// startEntry starts the process of an entry with the command of the deploy file.
func (s *site) startEntry(e *entry) {
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	e.cmd = exec.Command("target/gypsum-entry", "--settings", filepath.Join(s.dir, e.name+".ini"))
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		fail("start entry: %v", err)
	}
	e.ended = make(chan struct{})
	cmd, ended := e.cmd, e.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	s.record.printf("entry %s started, pid %d", e.name, e.cmd.Process.Pid)
}

func (e *entry) signal(sig syscall.Signal) { _ = e.cmd.Process.Signal(sig) }

// ready reports whether the entry answers the platform's readiness check with 200.
func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, e := range s.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				fail("entry %s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// leader returns the entry that the platform's store names under the condition of the last write to the key of leadership, or nil.
func (s *site) leader() *entry {
	value := string(s.store.Value("gypsum/lead"))
	for _, e := range s.entries {
		if value != "" && strings.Contains(value, e.name) {
			return e
		}
	}
	return nil
}

// stop ends all processes that were started. With KEEP set in the environment, the logs of the processes stay.
func (s *site) stop() {
	for _, e := range s.entries {
		if e.cmd != nil {
			e.signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Fprintln(os.Stderr, "logs in", s.dir)
}

// drainBody reads a body to its end.
func drainBody(r io.Reader) (string, error) {
	data, err := io.ReadAll(r)
	return string(data), err
}

// contact is ContactMs.
const contact = 3 * time.Second

// outcome of a run, as the exit code says it.
const (
	held   = 0
	broken = 1
	unable = 2
)

var current *site

// fail ends the run as one that couldn't be made.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.record.printf("cannot run: "+format, args...)
		current.stop()
		current.record.close()
	}
	os.Exit(unable)
}

// newClient returns a client of the entries.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 32, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// get sends a request once, and records what came of it.
func (s *site) get(client *http.Client, e *entry, id, path string) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+e.callers+path, nil)
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	s.record.printf("client sends %s, %s", id, path)
	resp, err := client.Do(req)
	if err != nil {
		s.record.printf("client got no answer to %s", id)
		return
	}
	_, _ = drainBody(resp.Body)
	_ = resp.Body.Close()
	s.record.printf("client got %d to %s from %q", resp.StatusCode, id, resp.Header.Get("Instance-Id"))
}

// entryOf returns the entry to which a request was sent.
func entryOf(id string) string {
	for i := range id {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return ""
}
