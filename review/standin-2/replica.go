//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// replica is a sound server of a plain service.
type replica struct {
	id, service, zone, address string
	slots                      int
	site                       *site
	server                     *http.Server
	born                       int64

	mu sync.Mutex
	// work is how long a request takes, and limit what the replica names in Server-Limit, or zero.
	work  time.Duration
	limit float64
	// brittle is what the replica names in Server-Brittle, or zero.
	brittle int
	// brittleSince is since when it does.
	brittleSince time.Time
	waiting      int
	running      int
	free         *sync.Cond
	turned       []arrival
	falls        []time.Time
	down         bool
	arrivals     []arrival
	sequence     int
	stopped      chan struct{}

	// crashesOn is the path of requests that crash the replica as it begins to run them, or empty, and crashes are those that did.
	crashesOn string
	crashes   []arrival
}

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	id      string
	replica string
	ran     bool
}

func (s *site) startReplica(id, service, zone string, slots int, work time.Duration) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, work: work, site: s, stopped: make(chan struct{}), born: time.Now().UnixMilli()}
	r.free = sync.NewCond(&r.mu)
	r.address = freeAddress()
	r.listen()
	go r.beat()
	return r
}

func (r *replica) listen() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("replica: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 10 * time.Second}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// beat writes the replica's entry once a heartbeat interval, as long as it runs.
func (r *replica) beat() {
	for {
		r.mu.Lock()
		down := r.down
		r.sequence++
		body := map[string]any{
			"Backend": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Capacity": r.slots, "State": "ready", "ColdLeftMs": 0,
			"Sequence": r.sequence, "born": r.born,
		}
		r.mu.Unlock()
		if !down {
			_ = r.site.store.Put("servers/"+r.id, body)
		}
		select {
		case <-r.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	limit, brittle, work := r.limit, r.brittle, r.work
	r.mu.Unlock()
	h := w.Header()
	if limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if brittle > 0 {
		h.Set("Server-Brittle", strconv.Itoa(brittle))
	}
	h.Set("Instance-Id", r.id)
	h.Set("Keep-Alive", "timeout=10")
	if req.URL.Path == "/health" {
		return
	}
	id := req.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if !r.enter(id) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if r.crashed(req.URL.Path, id) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(work)
	h.Set("Response-Seal", "seal."+r.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

// enter waits for a slot, and reports false if the request is turned away.
func (r *replica) enter(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	queue := 4 * r.slots
	if r.brittle > 0 && now.Sub(r.brittleSince) >= contact {
		// It lets fewer wait.
		queue = r.slots / 3
	}
	a := arrival{at: now, id: id, replica: r.id}
	if r.running >= r.slots && r.waiting >= queue {
		r.arrivals = append(r.arrivals, a)
		r.site.record.printf("%s turned %s away", r.id, id)
		if r.brittle > 0 {
			r.turnAway(id, now)
		}
		return false
	}
	a.ran = true
	r.arrivals = append(r.arrivals, a)
	r.site.record.printf("%s runs %s", r.id, id)
	r.waiting++
	for r.running >= r.slots {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.free.Broadcast()
}

// turnAway counts a request that was turned away for want of room, and has the replica fall over if there were too many in a second. The caller
// holds the lock.
func (r *replica) turnAway(id string, now time.Time) {
	if r.down || now.Sub(r.brittleSince) < contact {
		return
	}
	r.turned = append(r.turned, arrival{at: now, id: id, replica: r.id})
	recent, counted := 0, 0
	for _, a := range r.turned {
		if now.Sub(a.at) < time.Second {
			recent++
			if !r.site.excused(a.id) {
				counted++
			}
		}
	}
	if recent <= r.brittle {
		return
	}
	// A fall counts if most of what was turned away came from machines in touch.
	if 2*counted > recent {
		r.falls = append(r.falls, now)
	}
	r.goDown("falls over")
}

// goDown ends the replica's process, which is back after some seconds. The caller holds the lock.
func (r *replica) goDown(what string) {
	r.down = true
	r.site.record.printf("%s %s", r.id, what)
	server := r.server
	go func() {
		_ = server.Close()
		// What is no longer renewed is removed after three heartbeat intervals; it is back before.
		time.Sleep(3 * time.Second)
		r.mu.Lock()
		r.down, r.turned, r.born = false, nil, time.Now().UnixMilli()
		r.mu.Unlock()
		r.listen()
		r.site.record.printf("%s is back", r.id)
	}()
}

// crashed reports whether a request that has begun to run crashes the replica.
func (r *replica) crashed(path, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashesOn == "" || path != r.crashesOn || r.down {
		return r.down
	}
	r.crashes = append(r.crashes, arrival{at: time.Now(), id: id, replica: r.id, ran: true})
	r.goDown("crashes on " + id)
	return true
}

// sortArrivals sorts by time.
func sortArrivals(list []arrival) {
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
}
