package hosted_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

// reappearTime is how long a registration that the store has lost may take to reappear.
const reappearTime = 2 * time.Second

func TestRegistrationLostByRestoration(t *testing.T) {
	Convey("an endpoint whose registration and lease are lost when the store is restored", t, func() {
		store := hosted.NewStore()
		server := httptest.NewServer(store.Handler())
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		c := store.Copy()
		client := hosted.NewStoreClient(address)
		So(client.Put("servers/a", 1), ShouldBeNil)
		store.Restore(c)
		So(store.Value("servers/a"), ShouldBeNil)
		Convey("registers again, though another client holds a lease with the same number", func() {
			So(hosted.NewStoreClient(address).Put("servers/b", 1), ShouldBeNil)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go client.Run(ctx)
			deadline := time.Now().Add(reappearTime)
			for store.Value("servers/a") == nil && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			So(store.Value("servers/a"), ShouldNotBeNil)
		})
	})
}

func TestHistoryUnavailableAfterRestoration(t *testing.T) {
	Convey("a store that has discarded its history, and is restored from an earlier copy", t, func() {
		store := hosted.NewStore()
		server := httptest.NewServer(store.Handler())
		defer server.Close()
		c := store.Copy()
		for range 5 {
			store.PutRaw("k", nil)
		}
		store.Compact()
		store.Restore(c)
		Convey("has the history since then", func() {
			store.PutRaw("k", nil)
			resp, err := server.Client().Get(server.URL + "/-/kv-watch?PathPrefix=k&after=1&WaitMs=0")
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		})
	})
}
