//go:build review

package main

import (
	"bytes"
	"container/list"
	"encoding/json"
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
	// engineTokens is the memory of an engine, and engineEvents how many of its events it keeps; those are told after engineLag.
	engineTokens = 99519
	engineEvents = 4000
	engineLag    = 80 * time.Millisecond
	// enginePiece is how many tokens an engine reads at a time, and enginePieceTime how long that takes at 61.2 tokens in a ms.
	enginePiece     = 2048
	enginePieceTime = 33 * time.Millisecond
)

// engine is a sound model replica: it keeps the parts of the prompts that it reads, as far as its memory goes, drops those that were used least
// recently, and tells of both. All else is done by the project's stand-in.
type engine struct {
	site  *site
	inner *hosted.Endpoint
	// reading is held while a piece of a prompt is read.
	reading sync.Mutex

	mu     sync.Mutex
	parts  map[enginePart]*list.Element
	lru    *list.List
	tokens int
	events []engineEvent
	next   int64
}

type enginePart struct{ salt, id string }

type heldPart struct {
	enginePart
	tokens int
}

type engineEvent struct {
	number int64
	at     time.Time
	row    []any
}

func (s *site) startEngine(id, service, zone, model string) *engine {
	e := &engine{site: s, parts: make(map[enginePart]*list.Element), lru: list.New()}
	address := freeAddress()
	inner, err := hosted.StartEndpoint(hosted.EndpointConfig{
		ID: id, Service: service, Zone: zone, Slots: 64, Software: "v1", Model: model, Version: 1, Work: 5 * time.Millisecond, Events: 4,
		Listen: freeAddress(), Advertise: address,
	}, s.store)
	if err != nil {
		fail("engine: %v", err)
	}
	e.inner = inner
	server := &http.Server{Addr: address, Handler: e}
	go func() { _ = server.ListenAndServe() }()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			_ = inner.Register()
		}
	}()
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-events" {
		e.tell(w, r)
		return
	}
	// Only once its body has been read does a request end with its connection.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if prefix := r.Header.Get("Prompt-Prefix"); prefix != "" && r.Header.Get("Expect-Instance") == e.inner.ID() {
		id := r.Header.Get("Request-Id")
		e.site.record.printf("%s reads %s", e.inner.ID(), id)
		if !e.read(r, prefix) {
			// The client has left.
			e.site.record.printf("%s is left by %s", e.inner.ID(), id)
			panic(http.ErrAbortHandler)
		}
		e.site.record.printf("%s runs %s", e.inner.ID(), id)
		r.Header.Del("Prompt-Prefix")
	}
	e.inner.ServeHTTP(w, r)
}

// read reads a prompt piece by piece and keeps its parts, and reports false if the client leaves meanwhile.
func (e *engine) read(r *http.Request, prefix string) bool {
	salt, model := r.Header.Get("Cache-Salt"), r.Header.Get("Model")
	left := 0
	for _, entry := range strings.Split(prefix, ",") {
		id, text, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(text)
		if err != nil {
			continue
		}
		if !e.holds(enginePart{salt, id}) {
			for left < tokens {
				e.reading.Lock()
				if r.Context().Err() != nil {
					e.reading.Unlock()
					return false
				}
				time.Sleep(enginePieceTime)
				e.reading.Unlock()
				left += enginePiece
			}
			left -= tokens
		}
		e.keep(enginePart{salt, id}, tokens, model)
	}
	return true
}

func (e *engine) holds(key enginePart) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts[key] != nil
}

// keep keeps a part, and drops others if the memory is full.
func (e *engine) keep(key enginePart, tokens int, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held := e.parts[key]; held != nil {
		e.lru.MoveToFront(held)
		return
	}
	e.parts[key] = e.lru.PushFront(&heldPart{key, tokens})
	e.tokens += tokens
	e.add("+", key, tokens, model)
	for e.tokens > engineTokens {
		last := e.lru.Remove(e.lru.Back()).(*heldPart)
		delete(e.parts, last.enginePart)
		e.tokens -= last.tokens
		e.add("-", last.enginePart, 0, model)
	}
}

func (e *engine) add(sign string, key enginePart, tokens int, model string) {
	e.next++
	e.events = append(e.events, engineEvent{e.next, time.Now(), []any{e.next, sign, key.salt, key.id, tokens, model}})
	if len(e.events) > 2*engineEvents {
		e.events = append(e.events[:0:0], e.events[len(e.events)-engineEvents:]...)
	}
}

// after returns the events after a number that may be told, the number of the last one, and whether some are no longer kept.
func (e *engine) after(since int64) (rows [][]any, next int64, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows, next = [][]any{}, since
	kept := e.events[max(0, len(e.events)-engineEvents):]
	lost = len(kept) > 0 && since < kept[0].number-1
	for i := range kept {
		if kept[i].number <= since {
			continue
		}
		if time.Since(kept[i].at) < engineLag {
			break
		}
		rows, next = append(rows, kept[i].row), kept[i].number
	}
	return rows, next, lost
}

// tell answers a call for events.
func (e *engine) tell(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.inner.ID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("Since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond)
	rows, next, lost := e.after(since)
	for len(rows) == 0 && !lost && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
		rows, next, lost = e.after(since)
	}
	data, err := json.Marshal(map[string]any{"Epoch": 1, "Next": next, "Lost": lost, "Events": rows})
	if err != nil {
		fail("events: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Instance-Id", e.inner.ID())
	_, _ = w.Write(data)
}

// held describes what the engine keeps.
func (e *engine) held() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d parts with %d tokens, %d events", len(e.parts), e.tokens, e.next)
}
