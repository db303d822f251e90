package telemetry

import (
	"github.com/charmbracelet/log"
	kratos "github.com/go-kratos/kratos/v2/log"
)

// kratosLogger forwards log events of kratos to the program's logger.
type kratosLogger struct{ log *log.Logger }

// UseForKratos makes kratos log through l, so that all events have one format. Its
// info events, such as the start and stop of servers, become debug events, because
// the programs log these themselves.
func UseForKratos(l *log.Logger) { kratos.SetLogger(kratosLogger{l}) }

// Log implements the logger interface of kratos.
func (k kratosLogger) Log(level kratos.Level, keyvals ...any) error {
	message := "kratos"
	if len(keyvals) >= 2 && keyvals[0] == kratos.DefaultMessageKey {
		if text, ok := keyvals[1].(string); ok {
			message, keyvals = text, keyvals[2:]
		}
	}
	switch level {
	case kratos.LevelDebug, kratos.LevelInfo:
		k.log.Debug(message, keyvals...)
	case kratos.LevelWarn:
		k.log.Warn(message, keyvals...)
	default:
		k.log.Error(message, keyvals...)
	}
	return nil
}
