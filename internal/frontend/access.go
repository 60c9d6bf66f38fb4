package frontend

import (
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/routetable"
)

// Admit says on whose behalf a request of a route runs whose caller bears a key, empty for
// none.
func (n *Node) Admit(table *routetable.Table, route *routetable.Route, requestID, key string) (caller routetable.Caller, verdict Verdict) {
	caller, admitted := table.Admit(route, key)
	where := []zap.Field{zap.String("request", requestID), zap.String("route", route.Name)}
	if !admitted {
		n.noteKeyRefused(table, missing(key), where...)
		return caller, VerdictKeyUnknown
	}
	if table.Tenants != nil && !route.Public && n.keysTooOld(clock.Now()) {
		n.noteKeyRefused(table, keyNotSure, where...)
		return caller, VerdictRefused
	}
	return caller, VerdictDone
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
		n.noteKeyRefused(table, missing(key), zap.String("host", host))
		return "", VerdictKeyUnknown
	}
	if tenantName != "" && n.keysTooOld(clock.Now()) {
		n.noteKeyRefused(table, keyNotSure, zap.String("host", host))
		return "", VerdictRefused
	}
	return tenantName, VerdictDone
}

// keysTooOld says whether a key that is known here may have been withdrawn so long ago that
// it must serve no more. Operators choose by fail_closed whether callers are then refused or
// served by what was last known.
func (n *Node) keysTooOld(now time.Time) bool {
	return n.options.Settings.Access.FailClosed && n.configurationAge(now) > n.revocation()
}

// keyRefusal says why a key is refused.
type keyRefusal string

const (
	// keyNone: the caller bears no key.
	keyNone keyRefusal = "none"
	// keyUnknown: the key belongs to no tenant.
	keyUnknown keyRefusal = "unknown"
	// keyNotSure: the key is known, but not whether it still belongs to its tenant.
	keyNotSure keyRefusal = "not sure"
)

// missing returns why a key that is not known is refused.
func missing(key string) keyRefusal {
	if key == "" {
		return keyNone
	}
	return keyUnknown
}

// noteKeyRefused counts and logs a caller without a known key; the key is not shown.
func (n *Node) noteKeyRefused(table *routetable.Table, reason keyRefusal, fields ...zap.Field) {
	n.metrics.keysRefused.WithLabelValues(string(reason)).Inc()
	n.logger.Info("key refused", append(fields, zap.String("key", string(reason)), zap.Int64("configuration", table.Version),
		zap.Duration("configuration_age", n.configurationAge(clock.Now())))...)
}

// configurationAge returns the time since the store was asked, by this node or another, for what
// was answered last of the newest configuration.
func (n *Node) configurationAge(now time.Time) time.Duration {
	return n.configuredAt.age(now)
}

// operatorHold is how long the store may hold a read of what operators put. What is known of keys
// ages by two holds in a quiet store, and no key is to be refused then.
func (n *Node) operatorHold() time.Duration {
	if !n.options.Settings.Access.FailClosed {
		return operatorWait
	}
	return min(operatorWait, n.revocation()/4)
}

// revocation is the age of what is known of keys from which on it may be too old.
func (n *Node) revocation() time.Duration {
	return time.Duration(n.options.Settings.Access.RevocationMs) * time.Millisecond
}
