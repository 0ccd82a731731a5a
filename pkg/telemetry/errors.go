package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// shortErrors is a core that writes errors below the error level without their stack traces. Expected failures, such as a
// peer that does not answer, would otherwise take several kilobytes a line.
type shortErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{Core: c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c shortErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c shortErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Level < zapcore.ErrorLevel {
		fields = withoutStacks(fields)
	}
	return c.Core.Write(entry, fields)
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	short := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		short[i] = f
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			short[i] = zap.String(f.Key, err.Error())
		}
	}
	return short
}
