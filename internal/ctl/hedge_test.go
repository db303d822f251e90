package ctl

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHedge guards against one hanging control host that keeps all others from being asked.
func TestHedge(t *testing.T) {
	Convey("Given addresses of which the first hangs", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		Reset(cancel)
		var calls atomic.Int32
		Convey("the next one is asked as well, and the hanging call ends", func() {
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
		Convey("others are asked again and again until one answers", func() {
			So(hedge(ctx, []string{"hangs", "b", "c"}, func(ctx context.Context, addr string) bool {
				if addr == "hangs" {
					<-ctx.Done()
					return false
				}
				return calls.Add(1) == 5
			}), ShouldBeTrue)
		})
		Convey("without any answer it ends with the context, after all calls", func() {
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
