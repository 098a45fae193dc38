//go:build review

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	defaultEvents    = 5
	defaultEventTime = 10 * time.Millisecond
)

// cacheEntry is a part that an engine keeps.
type cacheEntry struct {
	tokens int
	// maker is the tenant whose request read the part in.
	maker string
}

// engine is a replica that keeps the parts of prompts under the text in Cache-Salt.
type engine struct {
	id, model string
	// count and pause are the number of events in a stream, and the time before each.
	count int
	pause time.Duration
	born  int64

	mu     sync.Mutex
	parts  map[[2]string]cacheEntry
	events [][]any
}

// runEngine serves a model replica until it is killed.
func runEngine(args []string) (bool, error) {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "instance")
	service := flags.String("service", "", "service")
	zone := flags.String("zone", "", "zone")
	store := flags.String("store", "", "address of the store")
	model := flags.String("model", "", "model")
	count := flags.Int("events", defaultEvents, "events in a stream")
	pause := flags.Duration("pause", defaultEventTime, "time before each event")
	if err := flags.Parse(args); err != nil {
		return false, err
	}
	e := &engine{id: *id, model: *model, count: *count, pause: *pause, born: time.Now().UnixMilli(), parts: make(map[[2]string]cacheEntry)}
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(*listen, e) }()
	registrar := hosted.NewStoreClient(*store)
	go registrar.Run(context.Background())
	err := registrar.Put("servers/"+*id, map[string]any{
		"Backend": *service, "Address": *listen, "Zone": *zone, "Version": "v1", "Capacity": 8, "State": "ready", "ColdLeftMs": 0,
		"Stage": "colocated", "Models": []any{map[string]any{"Name": *model, "Version": 1, "Adapters": []any{}}}, "Sequence": 1, "born": e.born,
	})
	if err != nil {
		return false, err
	}
	return false, <-failed
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/-/report":
		reply(w, map[string]any{
			"Stage": "colocated", "Models": []any{map[string]any{"Name": e.model, "Version": 1, "Adapters": []any{}}}, "Busy": false, "Sequence": 0,
			"Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": e.born, "clock_ms": time.Now().UnixMilli(),
		})
	case "/-/kv-events":
		e.serveEvents(w, r)
	default:
		e.run(w, r)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		news := append([][]any{}, e.events[min(since, len(e.events)):]...)
		next := len(e.events)
		e.mu.Unlock()
		if len(news) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			reply(w, map[string]any{
				"Epoch": e.born, "Next": next, "Lost": false, "Events": news, "born": e.born, "clock_ms": time.Now().UnixMilli(),
			})
			return
		}
	}
}

// run answers a request with a stream, and prints which kept parts it went on from and who had made them.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	request, tenant, salt := r.Header.Get("Request-Id"), r.Header.Get("Tenant-Id"), r.Header.Get("Cache-Salt")
	fmt.Printf("%d %s runs %s\n", time.Now().UnixMilli(), e.id, request)
	e.mu.Lock()
	prefix := true
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(size)
		key := [2]string{salt, name}
		kept, ok := e.parts[key]
		if prefix = prefix && ok; prefix {
			fmt.Printf("%d %s uses part=%s salt=%s user=%s maker=%s request=%s\n", time.Now().UnixMilli(), e.id, name, salt, tenant, kept.maker, request)
			continue
		}
		e.parts[key] = cacheEntry{tokens, tenant}
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, name, tokens, e.model})
	}
	e.mu.Unlock()
	w.Header().Set("Request-Id", request)
	w.Header().Set("Response-Seal", e.id+"."+request)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= e.count; n++ {
		time.Sleep(e.pause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
