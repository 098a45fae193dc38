package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/standin/proxy"
)

// programs is the folder of the built programs.
var programs string

// production, unless it is empty, is the gypsum-entry of an earlier release. Entries begin with it, and are upgraded when they are started again.
var production = os.Getenv("SOAK_PRODUCTION")

// raceExit is the exit code of a program in which the race detector found a data race.
const raceExit = 66

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gypsum-soak")
	if err != nil {
		panic(err)
	}
	programs = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-race", "-o", programs+"/", "gypsumvale/cmd/gypsum-entry", "gypsumvale/cmd/gypsum-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// Bounds in the entries' settings. Short bounds let more faults occur in the same time.
	maxRevocationDelay = 2500 * time.Millisecond
	maxLeavingDelay    = 2 * time.Second
	stopTimeout        = 4 * time.Second
	lease              = time.Second
	retryShare         = 0.2
	retryReserve       = 50

	streamEvents = 10
	entryCount   = 4
	engineCount  = 4
	// eventTime is the time between two events of a stream: long enough that faults break streams off.
	eventTime  = 20 * time.Millisecond
	plainCount = 2
)

var zones = []string{"a", "b"}

// process is one started process of a program.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
	// exitExpected is true once the test has sent a signal that ends the process.
	exitExpected atomic.Bool
	started      time.Time
}

// node is an entry, an endpoint or the store; it outlives its processes.
type node struct {
	name string
	args []string
	// zone is the availability zone of an entry.
	zone string
	// proxies are the proxies on connections to and from the node, by name.
	proxies map[string]*proxy.Proxy
	// callers and readiness are an entry's addresses; callers is that of a proxy.
	callers, readiness string
	// controlAddress is the address of an endpoint or the store itself, without a proxy.
	controlAddress string

	mu   sync.Mutex
	proc *process
}

// site is an installation of real processes with proxies on the connections between them.
type site struct {
	t   *testing.T
	dir string
	// zones are the availability zones over which entries and endpoints are spread, and revocation is that bound in the entries' settings.
	zones      []string
	revocation time.Duration
	entries    []*node
	// endpoints holds the engines, then the plain services.
	endpoints []*node
	store     *node

	mu           sync.Mutex
	breaches     []string
	disturbances []disturbance
	callers      []*caller
	// inUse holds the parts that a fault disturbs now.
	inUse map[string]bool
	// serving holds the engines that releases have started and not ended.
	serving []*node

	cutsMu sync.Mutex
	cuts   []*cut
}

// breach records a violated guarantee.
func (s *site) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

func (s *site) freeAddress() string {
	s.t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

// startProxy starts a proxy in front of the target address, and returns the proxy's address.
func (s *site) startProxy(m *node, name, target string) string {
	s.t.Helper()
	address := s.freeAddress()
	p, err := proxy.Start(address, target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	m.proxies[name] = p
	return address
}

// newStore returns a site that has only its store so far.
func newStore(t *testing.T, zones []string, revocation time.Duration) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), zones: zones, revocation: revocation, inUse: make(map[string]bool)}
	store := s.freeAddress()
	s.store = &node{name: "store", controlAddress: store, args: []string{"gypsum-standin", "hosted-store", "--listen", store}}
	s.start(s.store)
	t.Cleanup(s.killAll)
	for range 100 {
		if s.put("op/ready", 1) == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := newStore(t, zones, maxRevocationDelay)
	for i := range engineCount {
		s.addEndpoint(fmt.Sprintf("engine-%d", i), zones[i%len(zones)], "--service", "engines", "--model", hosted.SiteModel, "--events", fmt.Sprint(streamEvents),
			"--software", softwareOf(i), "--work", eventTime.String())
	}
	for i := range plainCount {
		s.addEndpoint(fmt.Sprintf("calendar-%d", i), zones[i%len(zones)], "--service", "calendar")
	}
	for i := range entryCount {
		s.addEntry(i)
	}
	return s
}

func (s *site) addEndpoint(name, zone string, extra ...string) {
	s.start(s.newEndpoint(name, zone, extra...))
}

// newEndpoint returns an endpoint whose process isn't started yet.
func (s *site) newEndpoint(name, zone string, extra ...string) *node {
	m := &node{name: name, controlAddress: s.freeAddress(), proxies: make(map[string]*proxy.Proxy)}
	args := []string{"gypsum-standin", "hosted-endpoint", "--listen", m.controlAddress, "--advertise", s.startProxy(m, "endpoint", m.controlAddress), "--store", s.store.controlAddress,
		"--id", name, "--zone", zone, "--slots", "16"}
	m.args = append(args, extra...)
	s.endpoints = append(s.endpoints, m)
	return m
}

func (s *site) addEntry(i int) {
	m := &node{name: fmt.Sprintf("entry-%02d", i), zone: s.zones[i%len(s.zones)], readiness: s.freeAddress(), proxies: make(map[string]*proxy.Proxy)}
	callers, peers := s.freeAddress(), s.freeAddress()
	m.callers = s.startProxy(m, "callers", callers)
	path := filepath.Join(s.dir, m.name+".ini")
	text := fmt.Sprintf(`[instance]
edge = hosted
name = %s
zone = %s
callers = %s
readiness = %s
peers = %s
advertise = %s
[platform]
store = %s
[bounds]
revocation = %v
leaving = %v
grace = %v
lease = %v
retry_share = %v
retry_slack = %d
`, m.name, m.zone, callers, m.readiness, peers, s.startProxy(m, "peers", peers), s.startProxy(m, "store", s.store.controlAddress),
		s.revocation, maxLeavingDelay, stopTimeout, lease, retryShare, retryReserve)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	m.args = []string{"gypsum-entry", "--settings", path}
	s.entries = append(s.entries, m)
	s.start(m)
}

// logPath returns the file that receives the output of a node's processes.
func (s *site) logPath(name string) string { return filepath.Join(s.dir, name+".log") }

// start starts a new process of a node.
func (s *site) start(m *node) {
	out, err := os.OpenFile(s.logPath(m.name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.breach("open output of %s: %v", m.name, err)
		return
	}
	program := filepath.Join(programs, m.args[0])
	if production != "" && m.readiness != "" && m.process() == nil {
		program = production
	}
	p := &process{name: m.name, cmd: exec.Command(program, m.args[1:]...), exited: make(chan struct{}), started: time.Now()}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// Its own process group keeps signals to the test's process group, such as an interrupt, from the process.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2", fmt.Sprintf("GORACE=halt_on_error=1 atexit_sleep_ms=0 exitcode=%d", raceExit))
	if err := p.cmd.Start(); err != nil {
		s.breach("start %s: %v", m.name, err)
		return
	}
	m.mu.Lock()
	m.proc = p
	m.mu.Unlock()
	go func() {
		defer close(p.exited)
		err := p.cmd.Wait()
		_ = out.Close()
		code := p.cmd.ProcessState.ExitCode()
		if !p.exitExpected.Load() || code == raceExit {
			s.breach("%s ended unexpectedly: %v, code %d", p.name, err, code)
		}
	}()
}

// replaceSoftware makes an engine's next process one of the other software version.
func (m *node) replaceSoftware() {
	i := slices.Index(m.args, "--software") + 1
	if m.args[i] == softwareOf(0) {
		m.args[i] = softwareOf(engineCount - 1)
		return
	}
	m.args[i] = softwareOf(0)
}

func (m *node) process() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc
}

// signal sends a signal to the node's process, and marks the process's end as expected if the signal ends it.
func (m *node) signal(sig syscall.Signal) *process {
	p := m.process()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.exitExpected.Store(true)
	}
	// The error of a process that has ended already doesn't matter.
	_ = p.cmd.Process.Signal(sig)
	return p
}

// killAll kills all processes and waits for their ends.
func (s *site) killAll() {
	for _, m := range append(append([]*node{s.store}, s.entries...), s.endpoints...) {
		if m.process() == nil {
			continue
		}
		<-m.signal(syscall.SIGKILL).exited
	}
}

// put writes a key of the store as an operator.
func (s *site) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	return s.control(s.store, "put?Key="+url.QueryEscape(key), data)
}

// control calls a stand-in's control interface directly, not through a proxy.
func (s *site) control(m *node, path string, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.controlAddress+"/control/"+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("control %s: %w", m.name, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control %s: status %d", m.name, resp.StatusCode)
	}
	return nil
}

// ready queries an entry's readiness address as a load balancer does.
func (m *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.readiness + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all entries are ready, and records a breach if they aren't by the deadline.
func (s *site) waitReady(deadline time.Time) {
	for _, m := range s.entries {
		for !m.ready() {
			if time.Now().After(deadline) {
				s.breach("%s was not ready in time", m.name)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
