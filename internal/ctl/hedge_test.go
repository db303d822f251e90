package ctl

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHedge guards against a control host that hangs and keeps the others from
// being asked.
func TestHedge(t *testing.T) {
	Convey("Given addresses of which the first hangs", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(cancel)
		var calls atomic.Int32
		Convey("the next address is asked as well, and the hanging call is cancelled", func() {
			ended := make(chan struct{})
			So(hedge(ctx, []string{"hangs", "answers"}, func(ctx context.Context, addr string) bool {
				if addr == "answers" {
					return true
				}
				<-ctx.Done()
				close(ended)
				return false
			}), ShouldBeTrue)
			<-ended
		})
		Convey("the others are asked in rounds until one answers", func() {
			So(hedge(ctx, []string{"hangs", "b", "c"}, func(ctx context.Context, addr string) bool {
				if addr == "hangs" {
					<-ctx.Done()
					return false
				}
				return calls.Add(1) == 5
			}), ShouldBeTrue)
		})
		Convey("without a definite answer it returns when the context is done, after all calls ended", func() {
			short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
			defer stop()
			So(hedge(short, []string{"a"}, func(ctx context.Context, _ string) bool {
				<-ctx.Done()
				calls.Add(1)
				return false
			}), ShouldBeFalse)
			So(calls.Load(), ShouldEqual, 1)
		})
	})
}
