package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/standin/model"
	"gypsumvale/internal/transport/admin"
)

// testEngine is a simulated engine that counts the reads of its load.
type testEngine struct {
	*model.Server
	address string
	loads   atomic.Int64
}

func newTestEngine(t *testing.T, crashDowntime time.Duration) *testEngine {
	t.Helper()
	e := &testEngine{Server: model.New(model.Config{
		Slots: 4, PrefillPerSecond: 1e5, TokenTime: time.Millisecond, CachePieces: 16, Version: "v", CrashDowntime: crashDowntime,
	})}
	handler := e.Handler()
	e.address = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			e.loads.Add(1)
		}
		handler.ServeHTTP(w, r)
	}))
	return e
}

func (e *testEngine) crashes(t *testing.T, in *testInstance) int64 {
	t.Helper()
	_, data, err := in.send(http.MethodGet, "http://"+e.address+"/stats", "", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var stats model.Stats
	if err := json.Unmarshal(data, &stats); err != nil {
		t.Fatal(err)
	}
	return stats.Crashes
}

// addEngines configures the engines of a zone, and waits until their loads have been read.
func (in *testInstance) addEngines(t *testing.T, zone string, engines []*testEngine) {
	t.Helper()
	objects := make([]string, len(engines))
	for i, e := range engines {
		objects[i] = fmt.Sprintf(`{"kind":"endpoint","name":"engine%d","state":{"zone":%q,"address":%q,"deployment":"assistant","slots":4}}`,
			i, zone, e.address)
	}
	body := fmt.Sprintf(`{"number":2,"objects":[%s]}`, strings.Join(objects, ","))
	status, data, err := in.send(http.MethodPost, "http://"+in.operators+"/admin/v1/tickets", token, nil, []byte(body))
	if err != nil || status != http.StatusOK {
		t.Fatalf("configure engines: status %d, %s, %v", status, data, err)
	}
	waitLoads(t, engines)
}

// waitLoads waits until each engine's load has been read twice, so that the first one has been recorded.
func waitLoads(t *testing.T, engines []*testEngine) {
	t.Helper()
	for _, e := range engines {
		read := e.loads.Load()
		waitFor(t, func() bool { return e.loads.Load() >= read+2 })
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 10 s")
}

// sendDeadly sends a prompt on which engines crash, and returns the error code of the answer.
func (in *testInstance) sendDeadly(t *testing.T, text string) api.Code {
	t.Helper()
	header := http.Header{"Idempotency-Key": {uuid.Must(uuid.NewV7()).String()}}
	body := fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":%q}]}`, text+model.CrashMarker)
	_, data, err := in.send(http.MethodPost, "http://"+in.callers+"/v1/chat/completions", "shop's key", header, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Error api.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		t.Fatalf("decode %s: %v", data, err)
	}
	return answer.Error.Code
}

// TestEngineCrashesAgainAfterRestart checks that the crashes of engines that were started again shortly after a crash are counted too.
func TestEngineCrashesAgainAfterRestart(t *testing.T) {
	in := newTestInstance(t)
	engines := []*testEngine{newTestEngine(t, 100*time.Millisecond), newTestEngine(t, 100*time.Millisecond)}
	in.addEngines(t, "z0", engines)
	for _, text := range []string{"first", "second"} {
		before := engines[0].crashes(t, in) + engines[1].crashes(t, in)
		code := in.sendDeadly(t, text)
		crashes := engines[0].crashes(t, in) + engines[1].crashes(t, in) - before
		if code != api.CodeCrashing || crashes != 2 {
			t.Errorf("the %s request crashed %d engines and ended with %q, want 2 and %q", text, crashes, code, api.CodeCrashing)
		}
	}
}

// TestEngineOfOtherOwnerCrashes checks that an entry that doesn't own an engine's group notices the engine's crash, though the engine has
// been started again at once.
func TestEngineOfOtherOwnerCrashes(t *testing.T) {
	in := newTestInstance(t)
	owner := &testInstance{platform: in.platform, list: in.list}
	owner.run(t, "e1", "z1", "e0@z0@"+in.peers, "")
	waitFor(t, func() bool {
		_, data, err := in.send(http.MethodGet, "http://"+in.operators+"/admin/v1/state", token, nil, nil)
		var state admin.State
		return err == nil && json.Unmarshal(data, &state) == nil && state.Members == 2
	})
	engines := []*testEngine{newTestEngine(t, 0), newTestEngine(t, 0)}
	in.addEngines(t, "z1", engines)
	code := in.sendDeadly(t, "")
	crashes := engines[0].crashes(t, in) + engines[1].crashes(t, in)
	if code != api.CodeCrashing || crashes != 2 {
		t.Errorf("the request crashed %d engines and ended with %q, want 2 and %q", crashes, code, api.CodeCrashing)
	}
}
