// Package quarantine identifies requests that crash the servers that run them (poison requests,
// also called queries of death) and keeps them away from servers.
//
// An end is the unplanned end of a server's process; a server ends under the requests that it was
// running.
//
// A request is identified by its Fingerprint, however often and at whichever node it arrives. The
// Ledger is a pure state machine: it records which servers ended under which requests, and decides
// for each request whether it may run. Package crashwatch drives it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies what a request asks a server to do. It is a cryptographic digest, so that
// nobody can craft a request with the fingerprint of another one to have that one held, and it does
// not reveal the request's body.
type Fingerprint [sha256.Size]byte

// Identity is what makes two requests equal. It excludes the request id, which differs for each
// attempt of the caller.
type Identity struct {
	// Tenant is the tenant on whose behalf the request runs; empty without tenants.
	Tenant string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(identity Identity) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{identity.Tenant, identity.Method, identity.Host, identity.Target} {
		// Length prefixes keep different lists of parts from giving the same input.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(identity.Body)
	return Fingerprint(digest.Sum(nil))
}

// String returns the whole fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// shortLength is the number of fingerprint bytes in log lines: enough to distinguish those of a
// day.
const shortLength = 8

// Short returns a prefix of the fingerprint, for log lines.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortLength]) }

// ParseFingerprint parses the result of String; ok is false for anything else.
func ParseFingerprint(text string) (fingerprint Fingerprint, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(fingerprint) {
		return Fingerprint{}, false
	}
	return Fingerprint(decoded), true
}
