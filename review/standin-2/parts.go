//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumvale/internal/standin/hosted"
)

func init() { cases["parts"] = runParts }

const (
	partsEntries = 3
	partsEngines = 18
	// partsClients is how many ordinary clients an entry has, which send prompts of three parts, with a pause after each answer.
	partsClients = 4
	partsPause   = 300 * time.Millisecond
	// crowdClients is how many other clients an entry has. Each sends a prompt of many parts of partTokens tokens, in a list of crowdBytes bytes, which
	// keeps the head below the limit of 16384 bytes, closes its connection after crowdPatience, and comes back after crowdPause.
	crowdClients  = 12
	crowdBytes    = 14000
	partTokens    = 16
	crowdPatience = 40 * time.Millisecond
	crowdPause    = 250 * time.Millisecond
	partsTime     = 95 * time.Second
	// restartDelay is after what time the platform starts a process again that it has ended.
	restartDelay = 2500 * time.Millisecond
	// partsMemory is the memory of a machine, as in the settings.
	partsMemory = 206 << 20
)

// runParts has ordinary clients, and a crowd that sends prompts of many short parts and leaves early.
func runParts(s *site, trouble bool) int {
	s.configure(hosted.Configuration{
		Version: 3, Limits: hosted.DefaultLimits(),
		Routes: []hosted.Route{{
			Name: "chat", Hostname: "shop.example", PathPrefix: "/chat/", Type: "streaming", Backend: "modeles", TimeoutMs: 12000, TargetLatencyMs: 400,
			GapAimMs: 400, MaxAttempts: 2, Sticky: true, Public: true, Resumable: true,
		}},
		Services: []map[string]any{hosted.EngineService("modeles", "m0", 64)},
	})
	zones := []string{"rennes", "brest", "vannes"}
	var engines []*engine
	for i := range partsEngines {
		engines = append(engines, s.startEngine(fmt.Sprintf("m-%d", i), "modeles", zones[i%3], "m0"))
	}
	for i := range partsEntries {
		s.startEntry(s.addEntry(fmt.Sprintf("front-%d", i), zones[i%3], s.storeAddr))
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	watch := &memoryWatch{site: s, ends: make(map[string]int), most: make(map[string]int64), done: make(chan struct{})}
	var watching sync.WaitGroup
	for _, e := range s.entries {
		watching.Go(func() { watch.run(e) })
	}
	var number atomic.Int64
	var served, other atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(partsTime)
	for _, e := range s.entries {
		for range partsClients {
			wg.Go(func() {
				client := newClient()
				client.Timeout = 12 * time.Second
				for time.Now().Before(end) {
					n := number.Add(1)
					prefix := fmt.Sprintf("a0:800,b%x:400,%x:200", n%20, 1<<40|n)
					if s.chat(client, e, fmt.Sprintf("%s.%d", e.name, n), prefix, 1400) {
						served.Add(1)
					} else {
						other.Add(1)
					}
					time.Sleep(partsPause)
				}
			})
		}
		for range crowdClients {
			if !trouble {
				break
			}
			wg.Go(func() {
				for time.Now().Before(end) {
					n := number.Add(1)
					prefix, tokens := crowdPrompt(n)
					client := &http.Client{Timeout: crowdPatience, Transport: &http.Transport{DisableKeepAlives: true}}
					s.chat(client, e, fmt.Sprintf("%s.crowd%d", e.name, n), prefix, tokens)
					time.Sleep(crowdPause)
				}
			})
		}
	}
	wg.Wait()
	close(watch.done)
	watching.Wait()
	for i, e := range engines {
		s.record.printf("engine %d keeps %s", i, e.held())
	}
	often := 0
	for _, e := range s.entries {
		s.record.printf("%s: at most %d MB, ended %d times", e.name, watch.most[e.name]>>20, watch.ends[e.name])
		fmt.Printf("%s: at most %d MB, ended %d times\n", e.name, watch.most[e.name]>>20, watch.ends[e.name])
		if watch.ends[e.name] >= 3 {
			often++
		}
	}
	s.record.printf("%d requests of ordinary clients served, %d not", served.Load(), other.Load())
	fmt.Printf("%d requests of ordinary clients served, %d not; on %d machines a process ended three times or more\n", served.Load(), other.Load(), often)
	if often >= 2 {
		return broken
	}
	return held
}

// crowdPrompt returns the list of parts of a prompt that consists of many short parts, and its tokens.
func crowdPrompt(n int64) (prefix string, tokens int) {
	var b strings.Builder
	for i := 0; b.Len() < crowdBytes; i++ {
		fmt.Fprintf(&b, "%x:%d,", n<<12|int64(i), partTokens)
		tokens += partTokens
	}
	return strings.TrimSuffix(b.String(), ","), tokens
}

// chat sends a prompt, and reports whether its stream was complete.
func (s *site) chat(client *http.Client, e *entry, id, prefix string, tokens int) bool {
	req, _ := http.NewRequest(http.MethodPost, "http://"+e.callers+"/chat/", strings.NewReader("{}"))
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "12000", "Model": "m0", "Token-Usage": fmt.Sprintf("%d,4", tokens), "Prompt-Prefix": prefix,
	} {
		req.Header.Set(name, value)
	}
	s.record.printf("client sends %s, %d tokens in %d parts", id, tokens, strings.Count(prefix, ",")+1)
	resp, err := client.Do(req)
	if err != nil {
		s.record.printf("client got no answer to %s", id)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	s.record.printf("client got %d to %s from %q, complete %v", resp.StatusCode, id, resp.Header.Get("Instance-Id"), err == nil)
	return resp.StatusCode == http.StatusOK && err == nil
}

// memoryWatch does what the platform does with machines' memory: it ends a process that takes more, and starts it again.
type memoryWatch struct {
	site *site
	done chan struct{}

	mu   sync.Mutex
	ends map[string]int
	most map[string]int64
}

func (m *memoryWatch) run(e *entry) {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMemory(e.cmd.Process.Pid)
		ended := false
		select {
		case <-e.ended:
			ended = true
		default:
		}
		m.mu.Lock()
		m.most[e.name] = max(m.most[e.name], used)
		m.mu.Unlock()
		if !ended && used <= partsMemory {
			continue
		}
		m.site.record.printf("%s takes %d MB, ended by itself: %v", e.name, used>>20, ended)
		if !ended {
			e.signal(syscall.SIGKILL)
			<-e.ended
		}
		m.mu.Lock()
		m.ends[e.name]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		m.site.startEntry(e)
	}
}

// anonymousMemory returns the memory that a process has for itself, without the files that it has mapped.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}
