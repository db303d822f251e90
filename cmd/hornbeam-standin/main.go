// Command hornbeam-standin runs one stand-in target for tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

type arguments struct {
	Address      string        `arg:"--address,required" help:"IP:port to listen on"`
	Service      string        `arg:"--service,required" help:"service that the target belongs to"`
	Zone         string        `arg:"--zone,required" help:"availability zone of the target"`
	Entries      []string      `arg:"--entry,separate" help:"entry host (IP:port) that takes announcements; repeat for more"`
	Slots        int           `arg:"--slots" default:"4" help:"requests worked on at the same time"`
	Connections  int           `arg:"--connections" default:"850" help:"open connections allowed"`
	MeanWork     time.Duration `arg:"--mean-work" default:"20ms" help:"mean of the exponential work time"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of the work times"`
	Rate         int           `arg:"--rate" help:"bytes a second of downloads, 0 for no limit"`
	Close        bool          `arg:"--fault-close" help:"close the connection after the request was read"`
	Cut          bool          `arg:"--fault-cut" help:"cut the response in the middle"`
	LateMs       int           `arg:"--fault-late-ms" help:"answer this much later than the work ended"`
	FailWork     bool          `arg:"--fault-fail-work" help:"fail work but answer health checks"`
	Shed         bool          `arg:"--fault-shed" help:"refuse work with the shed response"`
	Load         string        `arg:"--fault-load" help:"load to report: idle or busy"`
	Freeze       bool          `arg:"--fault-freeze" help:"send no announcements"`
	IgnoreCancel bool          `arg:"--fault-ignore-cancel" help:"ignore cancellation and deadlines"`
	Twice        bool          `arg:"--fault-twice" help:"send a second response to each request"`
}

func (a arguments) config() standin.Config {
	return standin.Config{
		Address: a.Address, Service: a.Service, Zone: a.Zone, Entries: a.Entries, Slots: a.Slots,
		Connections: a.Connections, MeanWork: a.MeanWork, Seed: a.Seed, Rate: a.Rate,
		Fault: standin.Fault{Close: a.Close, Cut: a.Cut, LateMs: a.LateMs, FailWork: a.FailWork, Shed: a.Shed,
			Load: a.Load, Freeze: a.Freeze, IgnoreCancel: a.IgnoreCancel, Twice: a.Twice},
	}
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	logger, err := telemetry.NewLogger(os.Stderr, "hornbeam-standin", args.Address, "info")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	target, err := standin.Start(args.config())
	if err != nil {
		return err
	}
	logger.Info("target started", "address", target.Address(), "service", args.Service, "zone", args.Zone)
	<-ctx.Done()
	logger.Info("target leaving", "outstanding", target.Stats().Outstanding)
	err = target.Leave(context.Background())
	logger.Info("target ended", "completed", target.Stats().Completed)
	return err
}
