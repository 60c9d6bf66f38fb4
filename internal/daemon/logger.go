package daemon

import (
	"io"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dalehook/internal/settings"
)

// NewLogger returns a logger that writes one line per entry with the time, the
// level, a message prefixed by the component, and the fields as JSON.
func NewLogger(config settings.Log, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, eris.Wrap(err, "log.level")
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	encoderConfig.EncodeLevel = zapcore.CapitalLevelEncoder
	encoderConfig.NameKey = zapcore.OmitKey
	encoderConfig.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(
		zapcore.NewConsoleEncoder(encoderConfig),
		zapcore.Lock(zapcore.AddSync(out)),
		level,
	)
	return zap.New(errorTextCore{core}), nil
}

// errorTextCore logs errors by their message only; eris errors would add a stack
// trace to each entry.
type errorTextCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(errorsAsText(fields))}
}

// Check implements zapcore.Core.
func (c errorTextCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, errorsAsText(fields))
}

func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	converted := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		converted[i] = field
	}
	return converted
}
