package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/layout"
	"gypsumvale/internal/load"
	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/transport/admin"
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gypsum-proof")
	if err != nil {
		panic(err)
	}
	programs = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", programs+"/", "gypsumvale/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started process of a program.
type process struct {
	args []string
	cmd  *exec.Cmd
	log  *os.File
}

// cluster is a complete installation of real processes on loopback.
type cluster struct {
	t      *testing.T
	dir    string
	layout *layout.Layout

	mu       sync.Mutex
	entries  map[string]*process
	standins []*process
	// killed holds the entries that were killed.
	killed map[string]bool
	// faults counts the injected faults.
	faults int
}

// clusterSizes gives three zones with two entries each.
var clusterSizes = layout.Sizes{Entries: 6, Engines: 6, Services: 3, Stores: 2, Workspaces: 3}

// newCluster starts an installation and submits its first ticket; change, if not nil, edits the layout first.
func newCluster(t *testing.T, sizes layout.Sizes, change func(*layout.Layout)) *cluster {
	t.Helper()
	ports := 3 + 3*sizes.Entries + sizes.Engines + sizes.Services + sizes.Stores
	// The layout assigns ports upwards from the one after its base.
	port, err := loopback.Ports(ports)
	if err != nil {
		t.Fatal(err)
	}
	l, err := layout.New("teranga", loopback.Host(), port-1, sizes)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(l)
	}
	c := &cluster{t: t, dir: t.TempDir(), layout: l, entries: make(map[string]*process), killed: make(map[string]bool)}
	if err := l.Write(c.dir); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	for _, line := range l.Commands(c.dir) {
		p := c.start(strings.Fields(line))
		if strings.HasPrefix(line, "gypsum-entry") {
			c.entries[l.Entries[len(c.entries)].Name] = p
		} else {
			c.standins = append(c.standins, p)
		}
	}
	for _, e := range l.Entries {
		c.waitReady(e)
	}
	first, err := l.Ticket(1)
	if err != nil {
		t.Fatal(err)
	}
	if status, body := c.submit(l.Entries[0], first); status != http.StatusOK {
		t.Fatalf("first ticket: %d %s", status, body)
	}
	c.waitRevision(1)
	return c
}

func (c *cluster) start(args []string) *process {
	log, err := os.CreateTemp(c.dir, "log")
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	return &process{args: args, cmd: cmd, log: log}
}

func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.standins
	for _, p := range c.entries {
		list = append(list, p)
	}
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		_ = p.cmd.Wait()
		if c.t.Failed() {
			c.logPanic(p)
		}
		_ = p.log.Close()
	}
}

// logPanic logs a process's panic, if its output holds one.
func (c *cluster) logPanic(p *process) {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return
	}
	if i := bytes.Index(data, []byte("panic")); i >= 0 {
		c.t.Logf("%v: %.3000s", p.args, data[i:])
	}
}

func (c *cluster) entry(i int) layout.Entry { return c.layout.Entries[i%len(c.layout.Entries)] }

func (c *cluster) waitReady(e layout.Entry) {
	c.t.Helper()
	for range 400 {
		resp, err := http.Get("http://" + e.Operators + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s did not become ready", e.Name)
}

func (c *cluster) waitRevision(revision uint64) {
	c.t.Helper()
	for _, e := range c.layout.Entries {
		c.waitEntryRevision(e, revision)
	}
}

func (c *cluster) waitEntryRevision(e layout.Entry, revision uint64) {
	c.t.Helper()
	for range 1000 {
		if s, err := c.state(e); err == nil && uint64(s.Revision) >= revision {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s did not reach revision %d", e.Name, revision)
}

func (c *cluster) state(e layout.Entry) (admin.State, error) {
	var s admin.State
	status, body, err := c.admin(e, http.MethodGet, "/admin/v1/state", nil)
	if err != nil || status != http.StatusOK {
		return s, fmt.Errorf("state of %s: status %d: %w", e.Name, status, err)
	}
	return s, json.Unmarshal(body, &s)
}

func (c *cluster) admin(e layout.Entry, method, path string, v any) (int, []byte, error) {
	return c.send("http://"+e.Operators+path, method, v, 20*time.Second)
}

func (c *cluster) send(url, method string, v any, timeout time.Duration) (int, []byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.layout.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return resp.StatusCode, body.Bytes(), err
}

func (c *cluster) submit(e layout.Entry, t *ticket.Ticket) (int, string) {
	status, body, err := c.admin(e, http.MethodPost, "/admin/v1/tickets", t)
	if err != nil {
		return 0, err.Error()
	}
	return status, string(body)
}

// setFault sets a fault of a stand-in and counts it; a failed call is only logged.
func (c *cluster) setFault(address string, v any) {
	if _, _, err := c.send("http://"+address+"/fault", http.MethodPost, v, 5*time.Second); err != nil {
		c.t.Logf("fault at %s: %v", address, err)
	}
	c.mu.Lock()
	c.faults++
	c.mu.Unlock()
}

// signal sends a signal to an entry's process.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
	if s == syscall.SIGKILL {
		c.killed[name] = true
	}
	_ = c.entries[name].cmd.Process.Signal(s)
}

// restart kills an entry's process if it is running, and starts a new one.
func (c *cluster) restart(name string) {
	c.mu.Lock()
	p := c.entries[name]
	c.mu.Unlock()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	next := c.start(p.args)
	c.mu.Lock()
	c.entries[name] = next
	c.mu.Unlock()
}

// partition separates a zone from the other zones, and also from the platform if platformToo is true. With an empty zone it removes the
// partition.
func (c *cluster) partition(zone string, platformToo bool) {
	c.mu.Lock()
	c.faults++
	c.mu.Unlock()
	var inside, outside []string
	for _, e := range c.layout.Entries {
		if e.Zone == zone {
			inside = append(inside, e.Name)
		} else {
			outside = append(outside, e.Name)
		}
	}
	if zone == "" {
		outside = nil
	}
	var wg sync.WaitGroup
	for _, e := range c.layout.Entries {
		peers := inside
		if e.Zone == zone {
			peers = outside
		}
		wg.Go(func() { c.blockPeers(e, peers) })
	}
	var all []layout.Standin
	all = append(append(append(all, c.layout.Engines...), c.layout.Services...), c.layout.Stores...)
	for _, s := range all {
		from := inside
		if s.Zone == zone {
			from = outside
		}
		wg.Go(func() { c.blockCallers(s.Address, from) })
	}
	platform := inside
	if !platformToo {
		platform = nil
	}
	for _, address := range []string{c.layout.KeyValue, c.layout.InstanceList} {
		wg.Go(func() { c.blockCallers(address, platform) })
	}
	wg.Wait()
}

func (c *cluster) blockPeers(e layout.Entry, peers []string) {
	_, _, _ = c.send("http://"+e.Operators+"/admin/v1/cut", http.MethodPost, struct {
		Peers []string `json:"peers"`
	}{peers}, time.Second)
}

func (c *cluster) blockCallers(address string, from []string) {
	_, _, _ = c.send("http://"+address+"/cut", http.MethodPost, struct {
		From []string `json:"from"`
	}{from}, time.Second)
}

func (c *cluster) stats(address string, into any) {
	c.t.Helper()
	if err := load.GetJSON(context.Background(), "http://"+address+"/stats", into); err != nil {
		c.t.Fatal(err)
	}
}

// reportResult prints the result line of a test.
func (c *cluster) reportResult(promise string, runs, operations int, detail string) {
	verdict := "PROVED"
	if c.t.Failed() {
		verdict = "BREACH"
	}
	fmt.Printf("%-8s %-34s runs %d, faults %d, operations %d; %s\n", verdict, promise, runs, c.faults, operations, detail)
}
