package operator_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/operator"
)

// instance starts a stub of an entry instance's administration API and returns its address.
func instance(t *testing.T, answers map[string]string, status int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func run(args ...string) (string, error) {
	var out bytes.Buffer
	err := operator.Command(&out).Run(context.Background(), append([]string{"gypsumctl"}, args...))
	return out.String(), err
}

func expectExit(err error, code int) {
	var exit *operator.ExitError
	So(errors.As(err, &exit), ShouldBeTrue)
	So(exit.Code, ShouldEqual, code)
}

func TestCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ticket.json")
	if err := os.WriteFile(file, []byte(`{"number":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	Convey("gypsumctl", t, func() {
		Convey("requires an address and a token", func() {
			_, err := run("state")
			expectExit(err, operator.ExitUsage)
		})
		Convey("exits with ExitUnavailable when the instance is unreachable", func() {
			_, err := run("--address", "127.0.0.1:1", "--token", "t", "state")
			expectExit(err, operator.ExitUnavailable)
		})
		Convey("shows which settings an instance holds", func() {
			address := instance(t, map[string]string{
				"/metrics": "# TYPE gypsum_settings_info gauge\ngypsum_settings_info{bounds=\"7f\",digest=\"ab12\",instance=\"e0\"} 1\n",
			}, http.StatusOK)
			table, err := run("settings", address)
			So(err, ShouldBeNil)
			So(strings.Fields(table), ShouldResemble, []string{"ADDRESS", "INSTANCE", "BOUNDS", "SETTINGS", "ERROR", address, "e0", "7f", "ab12"})
			_, err = run("settings", address, "127.0.0.1:1")
			expectExit(err, operator.ExitUnavailable)
			_, err = run("settings")
			expectExit(err, operator.ExitUsage)
		})
		Convey("shows which zones instances hold to be evacuated", func() {
			page := "gypsum_settings_info{bounds=\"7f\",digest=\"ab12\",instance=\"e0\"} 1\n"
			none := instance(t, map[string]string{"/metrics": page}, http.StatusOK)
			address := instance(t, map[string]string{
				"/metrics": page + "gypsum_zone_evacuated_seconds{zone=\"quay \\\"2\\\"\"} 61.5\ngypsum_zone_running_requests{zone=\"quay \\\"2\\\"\"} 4\n",
			}, http.StatusOK)
			table, err := run("evacuations", address, none)
			So(err, ShouldBeNil)
			lines := strings.Split(table, "\n")
			So(lines[1], ShouldContainSubstring, `quay "2"`)
			So(strings.Fields(lines[1])[1], ShouldEqual, "e0")
			So(strings.Fields(lines[1])[5], ShouldEqual, "4")
			So(strings.Fields(lines[2]), ShouldResemble, []string{none, "e0", "0"})
			_, err = run("evacuations", "127.0.0.1:1")
			expectExit(err, operator.ExitUnavailable)
		})
		Convey("validates settings files of both edges", func() {
			for _, name := range []string{"hosted.ini", "le-goff.ini"} {
				_, err := run("check", "../../examples/"+name)
				So(err, ShouldBeNil)
			}
		})
		Convey("prints a table, or JSON with --json", func() {
			address := instance(t, map[string]string{"/admin/v1/instances": `[{"name":"e0","zone":"z","revision":3}]`}, http.StatusOK)
			table, err := run("--address", address, "--token", "t", "instances")
			So(err, ShouldBeNil)
			So(table, ShouldStartWith, "NAME")
			text, err := run("--address", address, "--token", "t", "--json", "instances")
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, `"revision": 3`)
		})
		Convey("submits a ticket and waits until it is in force on all instances", func() {
			address := instance(t, map[string]string{
				"/admin/v1/tickets": `{"number":1,"revision":3,"result":"accepted"}`, "/admin/v1/instances": `[{"name":"e0","revision":3}]`,
			}, http.StatusOK)
			text, err := run("--address", address, "--token", "t", "ticket", file)
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, "in force on 1 of 1 instances")
		})
		Convey("exits with ExitTimeout when an instance doesn't apply the ticket in time", func() {
			address := instance(t, map[string]string{
				"/admin/v1/tickets": `{"number":1,"revision":3,"result":"accepted"}`, "/admin/v1/instances": `[{"name":"e0","revision":2}]`,
			}, http.StatusOK)
			_, err := run("--address", address, "--token", "t", "ticket", "--timeout", "300ms", file)
			expectExit(err, operator.ExitTimeout)
		})
		Convey("reports a rejected ticket with its error code", func() {
			address := instance(t, map[string]string{"/admin/v1/tickets": `{"error":{"code":"ticket_overtaken","message":"m","run":"no"}}`}, http.StatusConflict)
			_, err := run("--address", address, "--token", "t", "ticket", file)
			expectExit(err, operator.ExitRefused)
			So(err.Error(), ShouldContainSubstring, "ticket_overtaken")
		})
		Convey("validates settings files", func() {
			_, err := run("check", "../../examples/le-goff.ini")
			So(err, ShouldBeNil)
			_, err = run("check", file)
			expectExit(err, operator.ExitRefused)
		})
	})
}
