package flood_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/standin/loopback"
)

// startNative starts the outside systems of a native entry and the entry, submits its first ticket, and waits until the entry is ready.
func startNative(t *testing.T) *entry {
	const ports = 20
	port, err := loopback.Ports(ports)
	So(err, ShouldBeNil)
	l, err := layout.New("teranga", loopback.Host(), port-1, layout.Sizes{Entries: 1, Engines: 1, Services: 1, Stores: 1, Workspaces: 1})
	So(err, ShouldBeNil)
	dir := t.TempDir()
	So(l.Write(dir), ShouldBeNil)
	path := filepath.Join(dir, "entry.ini")
	settings := l.Settings(l.Entries[0]) + fmt.Sprintf("[process]\nmemory = %d\n", memoryMB)
	So(os.WriteFile(path, []byte(strings.Replace(settings, "level = info", "level = warn", 1)), 0o600), ShouldBeNil)
	for _, line := range l.Commands(dir) {
		if args := strings.Fields(line); args[0] == "gypsum-standin" {
			startProgram(args[0], args[1:]...)
		}
	}
	servicePath, key := "/v1/services/"+layout.Service+"/x", l.Workspaces[0].Key
	e := &entry{
		callers: l.Entries[0].Callers, readiness: "http://" + l.Entries[0].Operators + "/readyz",
		head: func(int) string {
			return "POST " + servicePath + " HTTP/1.1\r\nHost: flood.example\r\nAuthorization: Bearer " + key + "\r\n"
		},
	}
	e.answered = func(ctx context.Context, _ int) error {
		return send(ctx, http.MethodGet, "http://"+e.callers+servicePath, key, nil)
	}
	e.run(path)
	ticket, err := l.Ticket(1)
	So(err, ShouldBeNil)
	So(send(context.Background(), http.MethodPost, "http://"+l.Entries[0].Operators+"/admin/v1/tickets", l.OperatorToken, ticket), ShouldBeNil)
	e.expectAnswer()
	return e
}

// send sends a request on a connection of its own, and returns an error unless it is answered with 200.
func send(ctx context.Context, method, url, key string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
