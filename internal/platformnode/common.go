package platformnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

const (
	// memoryUse is the part of the memory limit from which the collector works harder.
	memoryUse = 0.6
	// reloadInterval is the pause between looks at the settings file, which may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// stopReserve is the part of the time for a stop that is left for the exit.
	stopReserve = 300 * time.Millisecond
)

// newLogger logs to standard output without ever waiting for it.
func newLogger(program, host string) (*log.Logger, *telemetry.AsyncWriter, error) {
	w := telemetry.NewAsyncWriter(os.Stdout)
	l, err := telemetry.NewLogger(w, program, host, "info")
	if err == nil {
		telemetry.UseForKratos(l)
	}
	return l, w, err
}

// stopLimit is the time that a process has to end its work after SIGTERM.
func stopLimit(s *platform.Settings) time.Duration {
	return s.BoundTime("GraceS", 5*time.Second) - stopReserve
}

func limitMemory(s *platform.Settings) {
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMb<<20) * memoryUse))
	}
}

// serveHTTP serves one address until ctx ends.
func serveHTTP(ctx context.Context, address string, h http.Handler, l *log.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := khttp.NewServer(khttp.Address(address), khttp.Listener(listener), khttp.Timeout(0))
	srv.HandlePrefix("/", h)
	go func() {
		if err := srv.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			l.Error("http server ended", "address", address, "err", err)
		}
	}()
	return nil
}

// serveMetrics serves the metrics of a process.
func serveMetrics(ctx context.Context, s *platform.Settings, r metrics.Registry, w *telemetry.AsyncWriter, l *log.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.TextHandler(r))
	go telemetry.WatchProcess(ctx, r, w, l)
	return serveHTTP(ctx, s.MetricsAddress(), mux, l)
}

// reload calls apply with the settings at SIGHUP and whenever the file has changed.
func reload(ctx context.Context, l *log.Logger, apply func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	file := os.Getenv(platform.SettingsVariable)
	last := modified(file)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			now := modified(file)
			if now.Equal(last) {
				continue
			}
			last, reason = now, "file changed"
		}
		s, err := platform.ReadSettings(file)
		if err != nil {
			l.Error("settings kept, the file is not usable", "err", err)
			continue
		}
		l.Info("settings reloaded", "reason", reason, "seeds", s.Seeds)
		apply(s)
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
