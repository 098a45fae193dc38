package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/operator"
	"gypsumvale/internal/standin/loopback"
)

// startupTime is longer than the program needs to reach its main function, even on a busy machine.
const startupTime = 2 * time.Second

// A SIGHUP during startup must not end the process, which is what happens by default until the program handles the signal.
func TestHangupWhileStarting(t *testing.T) {
	Convey("SIGHUP while the settings are being read doesn't end the program", t, func() {
		dir := t.TempDir()
		program, fifo := buildProgram(dir), filepath.Join(dir, "settings.ini")
		// Nothing is written to the FIFO yet, so the program blocks while reading its settings.
		So(syscall.Mkfifo(fifo, 0o600), ShouldBeNil)
		cmd := exec.Command(program, "--settings", fifo)
		So(cmd.Start(), ShouldBeNil)
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		select {
		case err := <-ended:
			So(fmt.Sprint("ended: ", err), ShouldEqual, "waits for its settings")
		case <-time.After(startupTime):
		}
		So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
		select {
		case err := <-ended:
			So(err, ShouldBeNil)
		case <-time.After(startupTime):
		}
		var exit *exec.ExitError
		So(errors.As(writeUntilEnd(fifo, "[instance]\nedge = neither\n", ended), &exit), ShouldBeTrue)
		So(exit.ExitCode(), ShouldEqual, 1)
	})
}

// writeUntilEnd writes a text to the FIFO again and again, until the program has ended, and returns the program's error.
func writeUntilEnd(fifo, text string, ended <-chan error) error {
	for {
		select {
		case err := <-ended:
			return err
		case <-time.After(20 * time.Millisecond):
		}
		// Opening fails while the FIFO has no reader.
		if w, err := os.OpenFile(fifo, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			_, _ = w.WriteString(text)
			_ = w.Close()
		}
	}
}

func buildProgram(dir string) string {
	program := filepath.Join(dir, "gypsum-entry")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("build %s: %w\n%s", program, err, out)
	}
	So(err, ShouldBeNil)
	return program
}

// hostedSettings are the settings of an entry whose store can't be reached.
func hostedSettings(zone, leaving, metrics string) string {
	address := func() string {
		a, err := loopback.FreeAddress()
		So(err, ShouldBeNil)
		return a
	}
	return fmt.Sprintf("[instance]\nedge = hosted\nname = e0\nzone = %s\ncallers = %s\nreadiness = %s\npeers = %s\nmetrics = %s\n"+
		"[platform]\nstore = %s\n[bounds]\nleaving = %s\n", zone, address(), address(), address(), metrics, address(), leaving)
}

// heldDigest returns the digest of the settings that the instance holds, as gypsumctl shows it; it is empty while the instance starts.
func heldDigest(metrics string) string {
	var out strings.Builder
	if operator.Command(&out).Run(context.Background(), []string{"gypsumctl", "--json", "settings", metrics}) != nil {
		return ""
	}
	var held []struct{ Digest string }
	So(json.Unmarshal([]byte(out.String()), &held), ShouldBeNil)
	return held[0].Digest
}

// expectHeld waits until the held digest meets a condition.
func expectHeld(metrics string, condition func(digest string) bool) string {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if digest := heldDigest(metrics); digest != "" && condition(digest) {
			return digest
		}
	}
	So("the instance doesn't hold the expected settings", ShouldBeEmpty)
	return ""
}

func TestReload(t *testing.T) {
	Convey("a running instance", t, func() {
		dir := t.TempDir()
		program, file := buildProgram(dir), filepath.Join(dir, "settings.ini")
		metrics, err := loopback.FreeAddress()
		So(err, ShouldBeNil)
		original := hostedSettings("a", "2s", metrics)
		write := func(text string) { So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil) }
		write(original)
		cmd := exec.Command(program, "--settings", file)
		log := &strings.Builder{}
		cmd.Stdout = log
		So(cmd.Start(), ShouldBeNil)
		stop := func() string {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			_ = cmd.Wait()
			return log.String()
		}
		first := expectHeld(metrics, func(string) bool { return true })

		Convey("applies changed bounds, with and without a signal", func() {
			write(strings.Replace(original, "leaving = 2s", "leaving = 2500.5ms", 1))
			So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			second := expectHeld(metrics, func(digest string) bool { return digest != first })
			write(strings.Replace(original, "leaving = 2s", "leaving = 3s", 1))
			third := expectHeld(metrics, func(digest string) bool { return digest != second })
			lines := stop()
			So(strings.Count(lines, "changed settings applied"), ShouldEqual, 2)
			So(lines, ShouldContainSubstring, third)
		})
		Convey("keeps the old settings if the file has faults or other changes need a restart", func() {
			write(strings.Replace(original, "leaving = 2s", "leaving = soon", 1))
			So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
			So(heldDigest(metrics), ShouldEqual, first)
			write(strings.Replace(strings.Replace(original, "zone = a", "zone = b", 1), "leaving = 2s", "leaving = 3s", 1))
			So(cmd.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
			So(heldDigest(metrics), ShouldEqual, first)
			lines := stop()
			So(lines, ShouldContainSubstring, "changed settings are invalid; the old ones remain in effect")
			So(lines, ShouldContainSubstring, "changed settings need a restart: [instance] zone")
			So(lines, ShouldNotContainSubstring, "changed settings applied")
		})
	})
}
