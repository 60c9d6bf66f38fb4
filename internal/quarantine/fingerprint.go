// Package quarantine finds requests that crash the servers that run them (poison
// requests, also called queries of death) and keeps them from the servers.
//
// A request is known by its Fingerprint, however often and to whichever node its caller
// sends it. The Ledger is a pure state machine: it folds which servers ended under which
// requests, and says of each request whether it may run. Package crashwatch drives it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint tells requests apart by what they ask a server to do. It is a cryptographic
// digest, so that nobody can make a request that shares the fingerprint of another one and
// have that one held. It shows nothing of the request's body.
type Fingerprint [sha256.Size]byte

// Identity is what makes two requests the same one. The id of a request is no part of it:
// each try has an id of its own.
type Identity struct {
	// Caller is the tenant on whose behalf the request runs; empty where there are none.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(identity Identity) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{identity.Caller, identity.Method, identity.Host, identity.Target} {
		// Each part is preceded by its length, so that no two lists of parts look alike.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(identity.Body)
	return Fingerprint(digest.Sum(nil))
}

// String returns the whole fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// shortLength is the number of bytes of a fingerprint in log lines: enough to tell those of a
// day apart.
const shortLength = 8

// Short returns the beginning of the fingerprint, for log lines.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortLength]) }

// ParseFingerprint reads what String returns; ok is false for anything else.
func ParseFingerprint(text string) (fingerprint Fingerprint, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(fingerprint) {
		return Fingerprint{}, false
	}
	return Fingerprint(decoded), true
}
