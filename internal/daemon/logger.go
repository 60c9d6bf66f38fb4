package daemon

import (
	"io"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dalehook/internal/settings"
)

// NewLogger returns the logger of a process: one line an entry, with the time,
// the level, the part's prefix and a short sentence.
func NewLogger(chosen settings.Log, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(chosen.Level)
	if err != nil {
		return nil, eris.Wrap(err, "log.level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeLevel = zapcore.CapitalLevelEncoder
	encoding.NameKey = zapcore.OmitKey
	encoding.CallerKey = zapcore.OmitKey
	core := zapcore.NewCore(
		zapcore.NewConsoleEncoder(encoding),
		zapcore.Lock(zapcore.AddSync(out)),
		level,
	)
	return zap.New(plainErrors{core}), nil
}

// plainErrors writes errors as their text alone; eris would add the stack to
// each entry.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{p.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (p plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !p.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, p)
}

// Write implements zapcore.Core.
func (p plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	texts := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		texts[i] = field
	}
	return texts
}
