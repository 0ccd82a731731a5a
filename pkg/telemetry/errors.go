package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stacklessCore is a core that omits the stack traces of errors in entries below the error level and in the fields of
// derived loggers. Expected failures, such as a peer that does not respond, would otherwise take several kilobytes per
// line.
type stacklessCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{Core: c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c stacklessCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c stacklessCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Level < zapcore.ErrorLevel {
		fields = withoutStacks(fields)
	}
	return c.Core.Write(entry, fields)
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	stripped := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		stripped[i] = f
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			stripped[i] = zap.String(f.Key, err.Error())
		}
	}
	return stripped
}
