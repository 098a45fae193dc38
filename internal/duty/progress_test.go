package duty_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/transfer"
	"gypsumvale/internal/duty"
)

func TestWithProgress(t *testing.T) {
	const stall = 200 * time.Millisecond
	Convey("a context whose call makes progress", t, func() {
		ctx, cancel := duty.WithProgress(context.Background(), stall, stall)
		Reset(cancel)
		Convey("ends for want of it", func() {
			<-ctx.Done()
			So(errors.Is(context.Cause(ctx), duty.ErrStalled), ShouldBeTrue)
		})
		Convey("goes on beyond its first deadline, also through derived contexts", func() {
			derived, cancelDerived := context.WithCancel(ctx)
			Reset(cancelDerived)
			started := time.Now()
			for time.Since(started) < 2*stall && ctx.Err() == nil {
				duty.RecordProgress(derived, transfer.SliceBytes)
				time.Sleep(time.Millisecond)
			}
			// A machine that stood still for longer than the stall time may have ended it.
			if time.Since(started) < 3*stall {
				So(ctx.Err(), ShouldBeNil)
			}
			<-ctx.Done()
			So(errors.Is(context.Cause(ctx), duty.ErrStalled), ShouldBeTrue)
		})
		Convey("ends with its parent and its cancellation", func() {
			cancel()
			So(errors.Is(ctx.Err(), context.Canceled), ShouldBeTrue)
		})
	})
	Convey("other contexts take no notice", t, func() { duty.RecordProgress(context.Background(), 1) })
}
