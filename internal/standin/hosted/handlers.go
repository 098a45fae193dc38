package hosted

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"gypsumvale/internal/standin/wire"
)

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/-/kv-key", s.get)
	r.GET("/-/kv-range", s.list)
	r.GET("/-/kv-watch", s.watch)
	r.POST("/-/kv-txn", s.commit)
	r.POST("/-/kv-lease", s.grantLease)
	r.POST("/-/kv-keep/:id", s.renewLease)
	r.DELETE("/-/kv-lease-end/:id", s.revokeLease)
	r.POST("/control/put", s.controlPut)
	r.POST("/control/fault", s.controlFault)
	r.POST("/control/compact", s.controlCompact)
	r.POST("/control/copy", s.controlCopy)
	r.POST("/control/restore", s.controlRestore)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.mu.Lock()
		name := req.Method + " " + req.URL.Path
		s.calls[name]++
		s.expire(time.Now())
		fault := s.fault
		if strings.HasPrefix(name, "GET /-/kv-range") && fault.SilentReads > 0 {
			s.fault.SilentReads--
			fault.Silent = true
		}
		fault.Silent = fault.Silent || fault.SilentWatches && strings.HasPrefix(name, "GET /-/kv-watch")
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case strings.HasPrefix(req.URL.Path, "/control/"):
		case fault.Silent:
			// net/http detects a disconnected caller only after the request body has been read.
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
			return
		case fault.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.ServeHTTP(w, req)
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("Key")]
	if item == nil {
		wire.Reply(w, http.StatusNotFound, struct{ StoreRevision uint64 }{s.revision})
		return
	}
	wire.Reply(w, http.StatusOK, struct {
		storeItem
		StoreRevision uint64
	}{*item, s.revision})
}

// maxPageItems is the maximum number of items in one page of a range read.
const maxPageItems = 500

// LaterPages is the name under which Calls counts the pages of range reads after the first.
const LaterPages = "further pages"

func (s *Store) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	delay := s.fault.PageDelay
	if r.URL.Query().Get("after") != "" {
		s.calls[LaterPages]++
	}
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	items := []*storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPageItems
	if more {
		items = items[:maxPageItems]
	}
	page := make([]storeItem, len(items))
	for i, item := range items {
		page[i] = *item
	}
	revision, transferred := s.revision, s.transfer(len(items))
	s.mu.Unlock()
	time.Sleep(time.Until(transferred))
	wire.Reply(w, http.StatusOK, struct {
		Items         []storeItem `json:"items"`
		MorePages     bool
		StoreRevision uint64
	}{page, more, revision})
}

// transfer returns when the link will have transferred some more items; the caller holds the lock.
func (s *Store) transfer(items int) time.Time {
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(items) * s.fault.ItemTime)
	return s.linkFreeAt
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events := s.eventsAfter(query.Get("PathPrefix"), after)
		revision, changed, compacted := s.revision, s.changed, after+1 < s.historyStart || after > s.revision
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := struct {
			Events        []storeEvent
			StoreRevision uint64
		}{events, revision}
		if len(events) > 0 {
			wire.Reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wire.Reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes to keys with a prefix after a revision. The caller holds the lock.
func (s *Store) eventsAfter(prefix string, after uint64) []storeEvent {
	events := []storeEvent{}
	if s.fault.HideEvents {
		return events
	}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		current := uint64(0)
		if item := s.items[e.Key]; item != nil {
			current = item.Revision
		}
		if current != e.Revision {
			wire.Reply(w, http.StatusPreconditionFailed, struct{ Items []storeItem }{})
			return
		}
	}
	for _, set := range body.SetKeys {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, set := range body.SetKeys {
		s.set(set.Key, set.Value, set.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notifyWatches()
	if s.fault.LoseReplies {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	wire.Reply(w, http.StatusOK, struct{ Revision uint64 }{s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body struct {
		Milliseconds int64 `json:"TtlMs"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<10)).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.Milliseconds) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	wire.Reply(w, http.StatusOK, struct{ Lease uint64 }{s.lastLease})
}

func (s *Store) leaseOf(p httprouter.Params) (uint64, *storeLease) {
	id, err := strconv.ParseUint(p.ByName("id"), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *Store) renewLease(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(p)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.deadline = time.Now().Add(l.ttl)
	wire.Reply(w, http.StatusOK, struct{}{})
}

func (s *Store) revokeLease(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, l := s.leaseOf(p); l != nil {
		s.endLease(id)
	}
	wire.Reply(w, http.StatusOK, struct{}{})
}

// controlPut writes a key on behalf of an operator. Faults do not affect it.
func (s *Store) controlPut(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.PutRaw(r.URL.Query().Get("Key"), data)
}

func (s *Store) controlFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f StoreFault
	if wire.Decode(w, r, &f) {
		s.SetFault(f)
	}
}

func (s *Store) controlCompact(http.ResponseWriter, *http.Request, httprouter.Params) { s.Compact() }

// controlCopy makes the copy that controlRestore restores the store from.
func (s *Store) controlCopy(http.ResponseWriter, *http.Request, httprouter.Params) {
	c := s.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = c
}

func (s *Store) controlRestore(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	c := s.copy
	s.mu.Unlock()
	if c == nil {
		http.Error(w, "no copy was made", http.StatusConflict)
		return
	}
	s.Restore(c)
}
