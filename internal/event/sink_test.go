package event_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
)

// captured returns what a function writes to standard output.
func captured(write func()) string {
	r, w, err := os.Pipe()
	So(err, ShouldBeNil)
	before := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = before }()
	write()
	So(w.Close(), ShouldBeNil)
	data, err := io.ReadAll(r)
	So(err, ShouldBeNil)
	return string(data)
}

func TestLog(t *testing.T) {
	Convey("a log", t, func() {
		Convey("writes a line for each event at or above its level until it is closed", func() {
			text := captured(func() {
				log, err := event.New("info", "json", "i1")
				So(err, ShouldBeNil)
				log.Info(event.RequestEnded, "request ended", zap.String("request", "r1"))
				log.Debug(event.RequestEnded, "not shown")
				log.Close()
				log.Info(event.RequestEnded, "after the end")
			})
			So(text, ShouldContainSubstring, `"request":"r1"`)
			So(text, ShouldContainSubstring, `"event":810`)
			So(strings.Count(text, "\n"), ShouldEqual, 1)
		})
		Convey("doesn't interleave its lines with those of other logs on the same pipe", func() {
			text := make(chan string)
			r, w, err := os.Pipe()
			So(err, ShouldBeNil)
			go func() {
				data, _ := io.ReadAll(r)
				text <- string(data)
			}()
			before := os.Stdout
			logs, ends, errs := make([]*event.Log, 4), make([]*os.File, 4), make([]error, 4)
			for i := range logs {
				// Each log has its own file descriptor, as separate processes have.
				ends[i], errs[i] = os.OpenFile(fmt.Sprintf("/proc/self/fd/%d", w.Fd()), os.O_WRONLY, 0)
				os.Stdout = ends[i]
				logs[i], _ = event.New("info", "json", "i1")
			}
			os.Stdout = before
			So(errors.Join(errs...), ShouldBeNil)
			var wg sync.WaitGroup
			for _, log := range logs {
				wg.Go(func() {
					for range 1000 {
						log.Info(event.RequestEnded, "request ended", zap.String("request", strings.Repeat("r", 300)))
					}
					log.Close()
				})
			}
			wg.Wait()
			for _, end := range append(ends, w) {
				So(end.Close(), ShouldBeNil)
			}
			for line := range strings.Lines(<-text) {
				So(json.Valid([]byte(line)), ShouldBeTrue)
			}
		})
		Convey("doesn't block on a pipe that nobody reads, and reports the dropped lines", func() {
			r, w, err := os.Pipe()
			So(err, ShouldBeNil)
			before := os.Stdout
			os.Stdout = w
			log, err := event.New("info", "json", "i1")
			os.Stdout = before
			So(err, ShouldBeNil)
			started := time.Now()
			for range 20000 {
				log.Info(event.RequestEnded, "request ended")
			}
			So(time.Since(started), ShouldBeLessThan, 5*time.Second)
			text := make(chan string)
			go func() {
				data, _ := io.ReadAll(r)
				text <- string(data)
			}()
			log.Close()
			So(w.Close(), ShouldBeNil)
			So(<-text, ShouldContainSubstring, "log lines dropped")
		})
		Convey("refuses an unknown level", func() {
			_, err := event.New("loud", "json", "i1")
			So(err, ShouldNotBeNil)
		})
	})
}
