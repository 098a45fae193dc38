package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/entry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/standin/loopback"
	"gypsumvale/internal/standin/plain"
	"gypsumvale/internal/standin/roster"
	"gypsumvale/internal/state/catalog"
)

const (
	secret = "a secret of the test's peers"
	token  = "operator's token"
)

// testInstance is an entry instance in this process, with stand-ins for the platform and for one service.
type testInstance struct {
	callers, operators, peers string
	service                   *plain.Server
	platform, list            string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newTestInstance(t *testing.T) *testInstance {
	t.Helper()
	return newTestInstanceWith(t, "")
}

// newTestInstanceWith appends sections to the settings.
func newTestInstanceWith(t *testing.T, extraSettings string) *testInstance {
	t.Helper()
	in := &testInstance{service: plain.New(time.Millisecond)}
	in.platform = serve(t, keyvalue.New(keyvalue.Config{}).Handler())
	in.list = serve(t, roster.New(0).Handler())
	in.run(t, "e0", "z0", "", extraSettings)
	in.configure(t, serve(t, in.service.Handler()))
	return in
}

// run starts the instance and stops it at the end of the test.
func (in *testInstance) run(t *testing.T, name, zone, seeds, extraSettings string) {
	t.Helper()
	in.callers, in.operators, in.peers = freeAddress(t), freeAddress(t), freeAddress(t)
	cfg, err := settings.ParseEntry("test", []byte(fmt.Sprintf(`[instance]
name = %s
zone = %s
callers = %s
operators = %s
peers = %s
[platform]
keyvalue = %s
list = %s
[peers]
secret = %s
seeds = %s
[operators]
tokens = tester:%s
[limits]
request_timeout = 5s
%s`, name, zone, in.callers, in.operators, in.peers, in.platform, in.list, secret, seeds, catalog.KeyDigest(token), extraSettings)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.New(cfg, event.Discard()).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func (in *testInstance) configure(t *testing.T, service string) {
	t.Helper()
	body := fmt.Sprintf(`{"number":1,"objects":[
{"kind":"service","name":"bookings","state":{"repeatable_methods":["GET"]}},
{"kind":"service","name":"private","state":{"repeatable_methods":["GET"]}},
{"kind":"deployment","name":"assistant","state":{"model":"m","version":"v"}},
{"kind":"deployment","name":"private","state":{"model":"m","version":"v"}},
{"kind":"endpoint","name":"s0","state":{"zone":"z0","address":%q,"service":"bookings","slots":8}},
{"kind":"workspace","name":"shop","state":{"key_digests":[%q],"share":1,"deployments":["assistant"],"services":["bookings"]}}]}`,
		service, catalog.KeyDigest("shop's key"))
	for range 200 {
		status, _, _ := in.send(http.MethodPost, "http://"+in.operators+"/admin/v1/tickets", token, nil, []byte(body))
		if status == http.StatusOK && in.operatorsReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("entry did not become ready")
}

// operatorsReady queries the operators' listener, which has no TLS in these tests.
func (in *testInstance) operatorsReady() bool {
	status, _, err := in.send(http.MethodGet, "http://"+in.operators+"/readyz", "", nil, nil)
	return err == nil && status == http.StatusOK
}

func (in *testInstance) callersReady() bool {
	status, _, err := in.send(http.MethodGet, "http://"+in.callers+"/readyz", "", nil, nil)
	return err == nil && status == http.StatusOK
}

func (in *testInstance) send(method, url, key string, header http.Header, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if header != nil {
		req.Header = header
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// newKeyAt returns a UUIDv7 whose timestamp is the given time.
func newKeyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func TestBadInput(t *testing.T) {
	in := newTestInstance(t)
	expectError := func(method, path, key string, header http.Header, body string, code api.Code, run api.Run) {
		_, data, err := in.send(method, "http://"+in.callers+path, key, header, []byte(body))
		So(err, ShouldBeNil)
		var answer struct {
			Error api.Error `json:"error"`
		}
		So(json.Unmarshal(data, &answer), ShouldBeNil)
		So(answer.Error.Code, ShouldEqual, code)
		So(answer.Error.Run, ShouldEqual, run)
		So(answer.Error.RequestID, ShouldNotBeEmpty)
	}
	keyed := func(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }
	const chat, slots, good = "/v1/chat/completions", "/v1/services/bookings/slots", "shop's key"
	prompt := func(model string) string {
		return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, model)
	}
	Convey("a bad request should be refused with its error code and run state", t, func() {
		Convey("without a bearer key", func() { expectError("POST", chat, "", nil, prompt("assistant"), api.CodeUnauthorized, api.RunNo) })
		Convey("with an unknown bearer key", func() {
			expectError("POST", chat, "guess", nil, prompt("assistant"), api.CodeUnauthorized, api.RunNo)
		})
		Convey("for an unknown deployment", func() { expectError("POST", chat, good, nil, prompt("none"), api.CodeUnknownDeployment, api.RunNo) })
		Convey("for another workspace's deployment", func() {
			expectError("POST", chat, good, nil, prompt("private"), api.CodeForbidden, api.RunNo)
		})
		Convey("with a malformed body", func() { expectError("POST", chat, good, nil, "{", api.CodeBadRequest, api.RunNo) })
		Convey("with an oversized body", func() {
			expectError("POST", chat, good, nil, strings.Repeat(" ", api.MaxBodyBytes+1), api.CodeTooLarge, api.RunNo)
		})
		Convey("with a timeout out of range", func() {
			expectError("POST", chat, good, http.Header{"Request-Timeout": {"1e9"}}, prompt("assistant"), api.CodeBadRequest, api.RunNo)
		})
		Convey("for a deployment without endpoints", func() { expectError("POST", chat, good, nil, prompt("assistant"), api.CodeOverloaded, api.RunNo) })
		Convey("for an unknown service", func() { expectError("GET", "/v1/services/none/x", good, nil, "", api.CodeUnknownService, api.RunNo) })
		Convey("for another workspace's service", func() { expectError("GET", "/v1/services/private/x", good, nil, "", api.CodeForbidden, api.RunNo) })
		Convey("without an idempotency key", func() { expectError("POST", slots, good, nil, "{}", api.CodeKeyMissing, api.RunNo) })
		Convey("with a malformed idempotency key", func() { expectError("POST", slots, good, keyed("x"), "{}", api.CodeKeyMalformed, api.RunNo) })
		Convey("with an expired idempotency key, which may have run before", func() {
			expectError("POST", slots, good, keyed(newKeyAt(time.Now().Add(-48*time.Hour))), "{}", api.CodeKeyExpired, api.RunUnknown)
		})
		Convey("with an idempotency key from the future", func() {
			expectError("POST", slots, good, keyed(newKeyAt(time.Now().Add(time.Hour))), "{}", api.CodeKeyEarly, api.RunNo)
		})
		Convey("with the idempotency key of another request", func() {
			key := uuid.Must(uuid.NewV7()).String()
			status, _, err := in.send("POST", "http://"+in.callers+slots, good, keyed(key), []byte(`{"slot":1}`))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			expectError("POST", slots, good, keyed(key), `{"slot":2}`, api.CodeKeyMismatch, api.RunNo)
		})
		Convey("for an unknown path", func() {
			status, _, err := in.send("GET", "http://"+in.callers+"/v2", good, nil, nil)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusNotFound)
		})
	})
}

func TestReplay(t *testing.T) {
	in := newTestInstance(t)
	Convey("a booking repeated under its key should run once and replay the first answer", t, func() {
		key := uuid.Must(uuid.NewV7()).String()
		url := "http://" + in.callers + "/v1/services/bookings/slots"
		header := func() http.Header { return http.Header{"Idempotency-Key": {key}} }
		_, first, err := in.send("POST", url, "shop's key", header(), []byte("{}"))
		So(err, ShouldBeNil)
		for range 3 {
			_, again, err := in.send("POST", url, "shop's key", header(), []byte("{}"))
			So(err, ShouldBeNil)
			So(string(again), ShouldEqual, string(first))
		}
		So(string(first), ShouldContainSubstring, `"count":1`)
	})
}

func TestOperators(t *testing.T) {
	in := newTestInstance(t)
	base := "http://" + in.operators + "/admin/v1/"
	expectStatus := func(method, path, token, body string, want int) {
		status, _, err := in.send(method, base+path, token, nil, []byte(body))
		So(err, ShouldBeNil)
		So(status, ShouldEqual, want)
	}
	Convey("operators", t, func() {
		Convey("should be refused without a token", func() { expectStatus("GET", "state", "", "", http.StatusUnauthorized) })
		Convey("should be refused with a workspace's key", func() { expectStatus("GET", "state", "shop's key", "", http.StatusUnauthorized) })
		Convey("should get the state", func() { expectStatus("GET", "state", token, "", http.StatusOK) })
		Convey("should be refused a malformed ticket", func() { expectStatus("POST", "tickets", token, "{", http.StatusBadRequest) })
		Convey("should be refused a ticket without objects", func() {
			expectStatus("POST", "tickets", token, `{"number":9}`, http.StatusBadRequest)
		})
		Convey("should be refused a ticket with an unknown field", func() { expectStatus("POST", "tickets", token, `{"number":9,"objekts":[]}`, http.StatusBadRequest) })
		Convey("should be refused a ticket with a lower number than an accepted one", func() {
			expectStatus("POST", "tickets", token, `{"number":5,"objects":[{"kind":"deployment","name":"d","state":{"model":"m","version":"2"}}]}`, http.StatusOK)
			expectStatus("POST", "tickets", token, `{"number":4,"objects":[{"kind":"deployment","name":"d","state":{"model":"m","version":"1"}}]}`, http.StatusConflict)
		})
		Convey("should get the tickets in the audit trail", func() {
			_, data, err := in.send("GET", base+"audit", token, nil, nil)
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, `"operator":"tester"`)
		})
	})
}

func TestPeerPort(t *testing.T) {
	in := newTestInstance(t)
	expectClosed := func(data []byte) {
		conn, err := net.Dial("tcp", in.peers)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write(data)
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
		// The entry may send its hello, and must then close the connection.
		_, err = io.Copy(io.Discard, conn)
		netErr, isNet := err.(net.Error)
		So(isNet && netErr.Timeout(), ShouldBeFalse)
	}
	Convey("the peer listener should close a connection that sends", t, func() {
		Convey("garbage", func() { expectClosed([]byte("GET / HTTP/1.1\r\n\r\n")) })
		Convey("a huge frame", func() { expectClosed([]byte{0xff, 0xff, 0xff, 0xff, 0}) })
		Convey("an empty frame", func() { expectClosed([]byte{0, 0, 0, 0}) })
		Convey("and should leave callers served", func() { So(in.callersReady(), ShouldBeTrue) })
	})
}
