package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/keyvalue"
	"gypsumvale/internal/standin/plain"
	"gypsumvale/internal/standin/roster"
)

// Guards against answers that callers take as final while a newer configuration may have what they name.
func TestFinalAnswersWithoutPlatform(t *testing.T) {
	t.Parallel()
	Convey("an instance that can't reach the platform sends callers away for a moment whose key or service it doesn't know", t, func() {
		var down atomic.Bool
		platform := keyvalue.New(keyvalue.Config{}).Handler()
		in := &testInstance{service: plain.New(time.Millisecond)}
		in.platform = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if down.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			platform.ServeHTTP(w, r)
		}))
		in.list = serve(t, roster.New(0).Handler())
		in.run(t, "e0", "z0", "", "")
		in.configure(t, serve(t, in.service.Handler()))
		status := func(path, key string) int {
			status, _, err := in.send(http.MethodGet, "http://"+in.callers+path, key, nil, nil)
			So(err, ShouldBeNil)
			return status
		}
		So(status("/v1/services/none/x", "shop's key"), ShouldEqual, http.StatusNotFound)
		So(status("/v1/services/bookings/x", "guess"), ShouldEqual, http.StatusUnauthorized)
		down.Store(true)
		// A watch that is waiting ends with its timeout; the next one fails.
		for deadline := time.Now().Add(30 * time.Second); status("/v1/services/none/x", "shop's key") == http.StatusNotFound && time.Now().Before(deadline); {
			time.Sleep(100 * time.Millisecond)
		}
		So(status("/v1/services/none/x", "shop's key"), ShouldEqual, http.StatusServiceUnavailable)
		So(status("/v1/services/bookings/x", "guess"), ShouldEqual, http.StatusServiceUnavailable)
		So(status("/v1/services/bookings/x", ""), ShouldEqual, http.StatusUnauthorized)
		So(status("/v1/services/bookings/x", "shop's key"), ShouldEqual, http.StatusOK)
	})
}
