package follow

import "go.uber.org/zap"

// Outage logs once when calls to the store begin to fail and once when they succeed
// again. It must be used by one goroutine only.
type Outage struct {
	Logger *zap.Logger
	lost   bool
}

// Note records the outcome of a call; the fields are added to the log entry.
func (o *Outage) Note(err error, fields ...zap.Field) {
	lost := err != nil
	if lost == o.lost {
		return
	}
	o.lost = lost
	if lost {
		o.Logger.Warn("store lost", append(fields, zap.Error(err))...)
		return
	}
	o.Logger.Info("store regained", fields...)
}
