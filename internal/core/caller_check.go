package core

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/wait"
)

// callerCheck is how long an order is held back to see whether its caller has given up.
// Bytes that waited for this host, while it or the link stood still, arrive a round trip
// before the close of their connection; the longest round trip is about 50 ms.
const callerCheck = 150 * time.Millisecond

// ErrCallerLeft is returned for an order whose caller has closed its connection. The order
// may be an old one, so it is not submitted.
var ErrCallerLeft = errors.New("the caller has given up, the order may be an old one")

// checkCaller runs read, which reads what the order depends on, while the order is held
// back for callerCheck. It returns the error of read, or ErrCallerLeft if the caller has
// given up before both have ended.
func checkCaller(ctx context.Context, read func() error) error {
	held := make(chan error, 1)
	go func() { held <- wait.For(ctx, callerCheck) }()
	err := read()
	if holdErr := <-held; err == nil {
		err = holdErr
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerLeft
	}
	return err
}
