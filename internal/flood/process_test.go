package flood_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
	"gypsumvale/internal/standin/loopback"
)

const (
	// memoryMB is the entry's setting process.memory, and the bound on its peak resident memory.
	memoryMB = 64
	// maxDescriptors bounds the open descriptors of the entry: eight for each MB of process.memory, which is under a fifth of what a
	// deployment with 136 MB and 2,870 descriptors has for each MB.
	maxDescriptors = 8 * memoryMB
	// startTimeout and answerTimeout are far longer than a busy machine needs. They only end a test that would hang.
	startTimeout  = 30 * time.Second
	answerTimeout = 60 * time.Second
	// routeTimeoutMs exceeds the length of a test, so that the time limit of requests doesn't free their memory.
	routeTimeoutMs = 120000
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gypsum-flood")
	if err != nil {
		panic(err)
	}
	programs = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", programs+"/", "gypsumvale/cmd/gypsum-entry", "gypsumvale/cmd/gypsum-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entry is a running process of gypsum-entry.
type entry struct {
	callers string
	// readiness is the URL that answers with 200 once the entry is ready.
	readiness string
	// head returns the head of a request with a body, without its end, and answered sends an ordinary request.
	head     func(i int) string
	answered func(ctx context.Context, i int) error
	cmd      *exec.Cmd
	ended    chan struct{}
	// maxOpen is the highest number of descriptors seen.
	maxOpen int
	mu      sync.Mutex
}

// startHosted starts a store, two endpoints and a hosted entry, and waits until the entry is ready.
func startHosted(t *testing.T) *entry {
	store := hosted.NewStore()
	server := httptest.NewServer(store.Handler())
	Reset(server.Close)
	Reset(server.CloseClientConnections)
	for i := range 2 {
		endpoint, err := hosted.StartEndpoint(hosted.EndpointConfig{
			ID: fmt.Sprintf("calendar-%d", i), Service: "calendar", Zone: "a", Slots: 32, Work: time.Millisecond,
		}, store)
		So(err, ShouldBeNil)
		Reset(endpoint.Stop)
	}
	So(store.Put("op/config", hosted.Configuration{
		Version: 1,
		Routes: []hosted.Route{{
			Name: "read", Hostname: hosted.SiteHostname, PathPrefix: hosted.ReadPath, Type: "idempotent", Backend: "calendar",
			TimeoutMs: routeTimeoutMs, TargetLatencyMs: 400, MaxAttempts: 2,
		}},
		Services: []map[string]any{hosted.PlainService("calendar")},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants:  []hosted.Tenant{{Name: "demo", APIKeys: []string{hosted.SiteAPIKey}}},
	}), ShouldBeNil)
	e := &entry{
		callers: freeAddress(),
		head: func(i int) string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: flood-%d\r\nCredential: %s\r\nDeadline-Ms: %d\r\n",
				hosted.ReadPath, hosted.SiteHostname, i, hosted.SiteAPIKey, routeTimeoutMs)
		},
	}
	e.answered = func(ctx context.Context, i int) error {
		return hosted.NewCaller().Call(ctx, e.callers, fmt.Sprintf("ordinary-%d", i), hosted.ReadPath)
	}
	readiness := freeAddress()
	e.readiness = "http://" + readiness + "/"
	path := filepath.Join(t.TempDir(), "settings.ini")
	So(os.WriteFile(path, fmt.Appendf(nil, "[instance]\nedge = hosted\nname = e0\nzone = a\ncallers = %s\nreadiness = %s\npeers = %s\n"+
		"[platform]\nstore = %s\n[process]\nmemory = %d\n[log]\nlevel = warn\n",
		e.callers, readiness, freeAddress(), server.Listener.Addr(), memoryMB), 0o600), ShouldBeNil)
	e.run(path)
	return e
}

// run starts the entry's process and waits until it is ready.
func (e *entry) run(settings string) {
	e.cmd, e.ended = startProgram("gypsum-entry", "--settings", settings)
	e.waitReady()
	go e.watchDescriptors()
}

// startProgram starts a program until the test ends. The channel is closed once it has ended.
func startProgram(name string, args ...string) (cmd *exec.Cmd, ended chan struct{}) {
	cmd = exec.Command(filepath.Join(programs, name), args...)
	So(cmd.Start(), ShouldBeNil)
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	Reset(func() {
		_ = cmd.Process.Kill()
		<-ended
	})
	return cmd, ended
}

func freeAddress() string {
	address, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	return address
}

func (e *entry) waitReady() {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(e.readiness)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	So("the entry isn't ready", ShouldBeEmpty)
}

// watchDescriptors counts the open descriptors until the process has ended.
func (e *entry) watchDescriptors() {
	for {
		select {
		case <-e.ended:
			return
		case <-time.After(10 * time.Millisecond):
			e.countDescriptors()
		}
	}
}

func (e *entry) countDescriptors() {
	if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid)); err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.maxOpen = max(e.maxOpen, len(list))
	}
}

// peakKB returns the peak resident memory in KB.
func (e *entry) peakKB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	So(err, ShouldBeNil)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			So(err, ShouldBeNil)
			return kb
		}
	}
	So("no VmHWM", ShouldBeEmpty)
	return 0
}

// expectWithinBounds checks that the process still runs within its bounds, and that an ordinary request is answered.
func (e *entry) expectWithinBounds(t *testing.T) {
	e.countDescriptors()
	e.expectAnswer()
	select {
	case <-e.ended:
		So("the entry has ended", ShouldBeEmpty)
	default:
	}
	peak := e.peakKB()
	e.mu.Lock()
	open := e.maxOpen
	e.mu.Unlock()
	t.Logf("peak resident memory %.1f MB, at most %d descriptors", float64(peak)/1024, open)
	So(peak, ShouldBeLessThanOrEqualTo, memoryMB<<10)
	So(open, ShouldBeLessThanOrEqualTo, maxDescriptors)
}

// expectAnswer sends an ordinary request until it is answered. Clients repeat a request that was refused under load.
func (e *entry) expectAnswer() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var err error
	for i := 0; ctx.Err() == nil; i++ {
		if err = e.answered(ctx, i); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	So(err, ShouldBeNil)
}
