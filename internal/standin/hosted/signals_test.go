package hosted_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

func startEndpoint(store *hosted.Store) *hosted.Endpoint {
	e, err := hosted.StartEndpoint(hosted.EndpointConfig{ID: "calendar-0", Service: "calendar", Zone: "a", Slots: 8}, store)
	So(err, ShouldBeNil)
	Reset(e.Stop)
	return e
}

func get(e *hosted.Endpoint, path string) (int, http.Header) {
	resp, err := http.Get("http://" + e.Address() + path)
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	return resp.StatusCode, resp.Header
}

func TestLeavingSaidInAnswers(t *testing.T) {
	Convey("an endpoint that leaves", t, func() {
		store := hosted.NewStore()
		e := startEndpoint(store)
		_, header := get(e, "/read/")
		So(header.Get("Server-Leaving"), ShouldBeEmpty)
		const delay = 500 * time.Millisecond
		e.SetFault(hosted.EndpointFault{LeaveDelay: delay})
		left := make(chan error, 1)
		go func() { left <- e.Leave() }()
		time.Sleep(delay / 5)
		Convey("says so in all answers before its registration does", func() {
			for _, path := range []string{"/read/", "/-/report"} {
				_, header := get(e, path)
				So(header.Get("Server-Leaving"), ShouldEqual, "1")
			}
			So(string(store.Value("servers/calendar-0")), ShouldContainSubstring, `"ready"`)
			So(<-left, ShouldBeNil)
			So(string(store.Value("servers/calendar-0")), ShouldContainSubstring, `"draining"`)
		})
	})
}

func TestRandomRetryAfter(t *testing.T) {
	Convey("an endpoint that asks for pauses", t, func() {
		e := startEndpoint(hosted.NewStore())
		const limit = 2500 * time.Millisecond
		e.SetFault(hosted.EndpointFault{RandomRetryAfter: limit})
		Convey("gives a time to come back in all forms, and runs some requests", func() {
			forms := make(map[string]int)
			for range 100 {
				status, header := get(e, "/read/")
				text := header.Get("Retry-After")
				if status == http.StatusOK {
					forms["none"]++
					So(text, ShouldBeEmpty)
					continue
				}
				So(status, ShouldEqual, http.StatusServiceUnavailable)
				So(header.Get("Not-Executed"), ShouldEqual, "1")
				form := "fraction"
				var wait time.Duration
				if at, err := http.ParseTime(text); err == nil {
					form, wait = "date", time.Until(at)
				} else {
					seconds, err := strconv.ParseFloat(text, 64)
					So(err, ShouldBeNil)
					wait = time.Duration(seconds * float64(time.Second))
					if _, err := strconv.Atoi(text); err == nil {
						form = "seconds"
					}
				}
				forms[form]++
				So(wait, ShouldBeBetweenOrEqual, -100*time.Millisecond, limit+time.Second)
			}
			So(len(forms), ShouldEqual, 4)
		})
	})
}
