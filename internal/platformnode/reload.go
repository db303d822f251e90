package platformnode

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/platform"
)

// reloadInterval is the pause between looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// reloadLoop calls apply with the settings at SIGHUP and whenever the file has changed.
func (p *process) reloadLoop(apply func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	file := os.Getenv(platform.SettingsVariable)
	last := modTime(file)
	for {
		reason := "signal"
		select {
		case <-p.ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			now := modTime(file)
			if now.Equal(last) {
				continue
			}
			last, reason = now, "file changed"
		}
		s, err := platform.ReadSettings(file)
		if err != nil {
			p.log.Error("settings kept, the file is not usable", "err", err)
			continue
		}
		p.log.Info("settings reloaded", "reason", reason, "seeds", s.Seeds)
		apply(s)
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
