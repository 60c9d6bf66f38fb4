package frontend

import (
	"time"

	"go.uber.org/zap"

	"dalehook/internal/routetable"
)

// Admit says on whose behalf a request of a route runs whose caller bears a key, empty for
// none.
func (n *Node) Admit(table *routetable.Table, route *routetable.Route, requestID, key string) (caller routetable.Caller, admitted bool) {
	caller, admitted = table.Admit(route, key)
	if !admitted {
		n.noteKeyRefused(table, key, zap.String("request", requestID), zap.String("route", route.Name))
	}
	return caller, admitted
}

// AdmitToJobs says on whose behalf batch jobs of a host are read and ended by a caller that
// bears a key. Without a configuration nothing is known of keys.
func (n *Node) AdmitToJobs(host, key string) (tenantName string, verdict Verdict) {
	table := n.table.Load()
	if table == nil {
		return "", VerdictRefused
	}
	tenantName, admitted := table.AdmitToJobs(host, key)
	if !admitted {
		n.noteKeyRefused(table, key, zap.String("host", host))
		return "", VerdictKeyUnknown
	}
	return tenantName, VerdictDone
}

// noteKeyRefused counts and logs a caller without a known key; the key is not shown.
func (n *Node) noteKeyRefused(table *routetable.Table, key string, fields ...zap.Field) {
	reason := "unknown"
	if key == "" {
		reason = "none"
	}
	n.metrics.keysRefused.WithLabelValues(reason).Inc()
	n.logger.Info("key refused", append(fields, zap.String("key", reason), zap.Int64("configuration", table.Version),
		zap.Duration("configuration_age", n.configurationAge(time.Now())))...)
}

// configurationAge returns the time since the store last said that no newer configuration
// than the one in force was there.
func (n *Node) configurationAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, n.operatorReadAt.Load()))
}
