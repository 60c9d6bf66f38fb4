package frontend

import (
	"time"

	"go.uber.org/zap"

	"dalehook/internal/clock"
	"dalehook/internal/routetable"
)

// Admit authenticates a request of a route by its API key and returns the tenant it runs for; the
// tenant is empty for requests without one.
func (n *Node) Admit(table *routetable.Table, route *routetable.Route, requestID, key string) (caller routetable.Caller, verdict Verdict) {
	caller, admitted := table.Admit(route, key)
	fields := []zap.Field{zap.String("request", requestID), zap.String("route", route.Name)}
	if !admitted {
		n.recordKeyRefusal(table, unadmittedKeyRefusal(key), fields...)
		return caller, VerdictKeyUnknown
	}
	if table.Tenants != nil && !route.Public && n.keysStale(clock.Now()) {
		n.recordKeyRefusal(table, keyStale, fields...)
		return caller, VerdictRefused
	}
	return caller, VerdictDone
}

// AdmitToJobs authenticates a caller that reads or ends batch jobs of a host, and returns its
// tenant. It refuses all callers until a configuration is known, since that holds the keys.
func (n *Node) AdmitToJobs(host, key string) (tenantName string, verdict Verdict) {
	table := n.table.Load()
	if table == nil {
		return "", VerdictRefused
	}
	tenantName, admitted := table.AdmitToJobs(host, key)
	if !admitted {
		n.recordKeyRefusal(table, unadmittedKeyRefusal(key), zap.String("host", host))
		return "", VerdictKeyUnknown
	}
	if tenantName != "" && n.keysStale(clock.Now()) {
		n.recordKeyRefusal(table, keyStale, zap.String("host", host))
		return "", VerdictRefused
	}
	return tenantName, VerdictDone
}

// keysStale reports whether a known key may have been revoked longer ago than the revocation delay.
// The setting fail_closed decides whether such keys are then refused or still accepted.
func (n *Node) keysStale(now time.Time) bool {
	return n.options.Settings.Access.FailClosed && n.configurationAge(now) > n.revocationDelay()
}

// keyRefusal is the reason why a key was refused.
type keyRefusal string

const (
	// keyMissing: the request has no key.
	keyMissing keyRefusal = "none"
	// keyUnknown: no tenant has the key.
	keyUnknown keyRefusal = "unknown"
	// keyStale: the key is known, but may have been revoked since the configuration was read.
	keyStale keyRefusal = "not sure"
)

// unadmittedKeyRefusal returns why a missing key, or one that no tenant has, is refused.
func unadmittedKeyRefusal(key string) keyRefusal {
	if key == "" {
		return keyMissing
	}
	return keyUnknown
}

// recordKeyRefusal counts and logs a refused key. The key itself isn't logged.
func (n *Node) recordKeyRefusal(table *routetable.Table, reason keyRefusal, fields ...zap.Field) {
	n.metrics.keysRefused.WithLabelValues(string(reason)).Inc()
	n.logger.Info("key refused", append(fields, zap.String("key", string(reason)), zap.Int64("configuration", table.Version),
		zap.Duration("configuration_age", n.configurationAge(clock.Now())))...)
}

// configurationAge returns how long ago this node, or the node that relayed the answer, sent the
// request to the store whose answer last confirmed the newest configuration.
func (n *Node) configurationAge(now time.Time) time.Duration {
	return n.configurationAsOf.age(now)
}

// operatorReadWait returns the longest poll of the operator topic. In a quiet store the
// configuration's age reaches two polls, so the poll is at most a quarter of the revocation delay:
// otherwise keys would be refused although nothing changed.
func (n *Node) operatorReadWait() time.Duration {
	if !n.options.Settings.Access.FailClosed {
		return operatorPollWait
	}
	return min(operatorPollWait, n.revocationDelay()/4)
}

// revocationDelay returns the configuration age above which a key counts as stale.
func (n *Node) revocationDelay() time.Duration {
	return time.Duration(n.options.Settings.Access.RevocationMs) * time.Millisecond
}
