//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rig is a small deployment of the project's programs and of stand-ins, each a process of its own on a loopback address.
type rig struct {
	work      string
	storeAddr string
	entries   []*entry
	record    *record

	mu    sync.Mutex
	procs []*exec.Cmd
}

// entry is one process of gypsum-entry.
type entry struct {
	name, zone, callers, readiness, settings string
	// store is the link by which the entry reaches the store.
	store *link
	cmd   *exec.Cmd
}

// record is the file record.txt, with the time since its beginning in each line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newRig starts a store and writes the configuration to it.
func newRig(folder string, configuration any) (*rig, error) {
	work, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{work: work, storeAddr: freeAddress(), record: &record{file: file, start: time.Now()}}
	if _, err := r.start("store", "target/review/gypsum-standin", "hosted-store", "--listen", r.storeAddr); err != nil {
		return nil, err
	}
	if err := waitFor(10*time.Second, func() bool { return r.put("op/config", configuration) == nil }); err != nil {
		return nil, fmt.Errorf("write configuration: %w", err)
	}
	return r, nil
}

// put writes a key on behalf of the operator.
func (r *rig) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+r.storeAddr+"/control/put?Key="+key, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// start starts a program, which ends with this process at the latest.
func (r *rig) start(name, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(r.work, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.procs = append(r.procs, cmd)
	r.mu.Unlock()
	r.record.printf("started %s, process %d", name, cmd.Process.Pid)
	return cmd, nil
}

// settingsText is deploy/entry.ini as the platform fills it in for a machine of legoff-neige.
const settingsText = `[instance]
edge = hosted
name = %s
zone = %s
callers = %s
readiness = %s
peers = %s
metrics = %s

[platform]
store = %s

[bounds]
revocation = 5000ms
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

// startEntries starts one entry in each zone and waits until all are ready.
func (r *rig) startEntries(zones ...string) error {
	for i, zone := range zones {
		store, err := newLink(r.storeAddr)
		if err != nil {
			return err
		}
		e := &entry{
			store: store,
			name:  fmt.Sprintf("front-%s-%d", zone, i), zone: zone, callers: freeAddress(), readiness: freeAddress(),
			settings: filepath.Join(r.work, fmt.Sprintf("entry-%d.ini", i)),
		}
		text := fmt.Sprintf(settingsText, e.name, zone, e.callers, e.readiness, freeAddress(), freeAddress(), store.address)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startEntry(e); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	for _, e := range r.entries {
		if err := waitFor(20*time.Second, e.ready); err != nil {
			return fmt.Errorf("%s is not ready: %w", e.name, err)
		}
	}
	return nil
}

func (r *rig) startEntry(e *entry) error {
	cmd, err := r.start(e.name, "target/gypsum-entry", "--settings", e.settings)
	e.cmd = cmd
	return err
}

func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends a process at once.
func (r *rig) kill(name string, cmd *exec.Cmd) {
	r.record.printf("SIGKILL %s, process %d", name, cmd.Process.Pid)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// close ends all processes that the rig started. With KEEP_LOGS set, their logs stay.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cmd := range r.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.work)
	} else {
		fmt.Println("logs:", r.work)
	}
	_ = r.record.file.Close()
}

// taken holds the addresses that freeAddress has returned.
var taken = make(map[string]bool)

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		l.Close()
		if !taken[address] {
			taken[address] = true
			return address
		}
	}
}

func waitFor(limit time.Duration, done func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}
