package platformnode

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/platform"
)

// reloadInterval is the interval at which the settings file is checked for a
// change, since the platform may change it without a signal.
const reloadInterval = 2 * time.Second

// reloadLoop calls apply with the settings at each SIGHUP and after each change of
// the file, until the context of the process ends. An invalid file is logged and
// the previous settings stay in force.
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
			p.log.Error("previous settings kept, the settings file is invalid", "err", err)
			continue
		}
		p.log.Info("settings reloaded", "reason", reason, "seeds", s.Seeds)
		p.logUnusableSeeds(s)
		apply(s)
	}
}

// logUnusableSeeds logs the seeds that are skipped because they are malformed.
func (p *process) logUnusableSeeds(s *platform.Settings) {
	if unusable := s.UnusableSeeds(); len(unusable) > 0 {
		p.log.Warn("seeds skipped that are not of the form IP:port", "seeds", unusable)
	}
}

// modTime returns the modification time of a file, or the zero time if os.Stat fails.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
