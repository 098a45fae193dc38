package main_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startupTime is longer than the program needs to reach its main function, even on a busy machine.
const startupTime = 2 * time.Second

// A SIGHUP during startup must not end the process, which is what happens by default until the program handles the signal.
func TestHangupWhileStarting(t *testing.T) {
	Convey("SIGHUP while the settings are being read doesn't end the program", t, func() {
		dir := t.TempDir()
		program, fifo := filepath.Join(dir, "gypsum-entry"), filepath.Join(dir, "settings.ini")
		out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
		So(string(out), ShouldBeEmpty)
		So(err, ShouldBeNil)
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
