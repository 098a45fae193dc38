package api_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/protocol/api"
)

func expectMalformed(body string) {
	_, err := api.DecodeChat([]byte(body))
	So(errors.Is(err, api.ErrMalformed), ShouldBeTrue)
}

func TestDecodeChat(t *testing.T) {
	Convey("a chat request", t, func() {
		Convey("without a number of tokens gets a default", func() {
			r, err := api.DecodeChat([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}]}`))
			So(err, ShouldBeNil)
			So(r.MaxTokens, ShouldBeGreaterThan, 0)
		})
		Convey("must be JSON", func() { expectMalformed("{") })
		Convey("must name a model", func() { expectMalformed(`{"messages":[{}]}`) })
		Convey("must have messages", func() { expectMalformed(`{"model":"m"}`) })
		Convey("must not request a negative number of tokens", func() { expectMalformed(`{"model":"m","messages":[{}],"max_tokens":-1}`) })
	})
	Convey("a body", t, func() {
		Convey("shorter than its declared length is malformed", func() {
			_, err := api.ReadBody(strings.NewReader("abc"), 5)
			So(errors.Is(err, api.ErrMalformed), ShouldBeTrue)
		})
		Convey("above the limit is too large", func() {
			_, err := api.ReadBody(strings.NewReader(strings.Repeat("x", api.MaxBodyBytes+1)), -1)
			So(errors.Is(err, api.ErrTooLarge), ShouldBeTrue)
		})
	})
}

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := api.DecodeChat(data); err == nil {
			_ = r.Prompt()
		}
	})
}
