package platformnode

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// serveHTTP starts to serve h at address and returns. A server that fails before
// ctx ends is logged.
func serveHTTP(ctx context.Context, address string, h http.Handler, l *log.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := khttp.NewServer(khttp.Address(address), khttp.Listener(listener), khttp.Timeout(0))
	srv.HandlePrefix("/", h)
	go func() {
		if err := srv.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			l.Error("http server failed", "address", address, "err", err)
		}
	}()
	return nil
}
