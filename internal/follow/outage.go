package follow

import "go.uber.org/zap"

// Outage logs once when calls to the store begin to fail, and once when they go
// through again. It is used by one goroutine.
type Outage struct {
	Logger *zap.Logger
	lost   bool
}

// Note takes the outcome of a call; the fields say what was called for.
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
