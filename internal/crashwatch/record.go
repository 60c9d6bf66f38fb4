package crashwatch

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/directory"
	"dalehook/internal/quarantine"
	"dalehook/internal/store"
)

// endRecord is the value of an end's record in the store. The record's key names the request
// and the server, so that nodes that saw the same end write one key, and an end is taken back
// by removing it.
type endRecord struct {
	// At is when the end was seen, in Unix milliseconds.
	At int64
	// Node is the process that saw it.
	Node string
	// Progressed says that the request had made events.
	Progressed bool
}

// The separators of a record's key. A fingerprint is hexadecimal, a time of birth decimal.
const (
	keyServer = "@"
	keyBorn   = "#"
)

func recordKey(fingerprint quarantine.Fingerprint, server directory.Incarnation) string {
	return fingerprint.String() + keyServer + server.ID + keyBorn + strconv.FormatInt(server.Born, 10)
}

func parseKey(key string) (fingerprint quarantine.Fingerprint, server directory.Incarnation, ok bool) {
	digits, rest, found := strings.Cut(key, keyServer)
	at := strings.LastIndex(rest, keyBorn)
	if !found || at < 0 {
		return quarantine.Fingerprint{}, directory.Incarnation{}, false
	}
	born, err := strconv.ParseInt(rest[at+len(keyBorn):], 10, 64)
	fingerprint, valid := quarantine.ParseFingerprint(digits)
	return fingerprint, directory.Incarnation{ID: rest[:at], Born: born}, valid && err == nil
}

// encodeEnd returns the record of an end.
func encodeEnd(end quarantine.End, node string) (store.Record, error) {
	var value bytes.Buffer
	if err := gob.NewEncoder(&value).Encode(endRecord{At: end.At.UnixMilli(), Node: node, Progressed: end.Progressed}); err != nil {
		return store.Record{}, eris.Wrapf(err, "encode the end of server %s", end.Server.ID)
	}
	return store.Record{Key: recordKey(end.Fingerprint, end.Server), Value: value.Bytes()}, nil
}

// removal returns the record that takes an end back.
func removal(fingerprint quarantine.Fingerprint, server directory.Incarnation) store.Record {
	return store.Record{Key: recordKey(fingerprint, server)}
}

// A verdict is the record of an end that names no server: it says that the request's proof stands
// until it is cleared.
func isVerdict(end quarantine.End) bool { return end.Server == directory.Incarnation{} }

// verdictRemoval returns the record that takes a verdict back.
func verdictRemoval(fingerprint quarantine.Fingerprint) store.Record {
	return removal(fingerprint, directory.Incarnation{})
}

// decodeEnd reads an end; removed says that the record takes it back.
func decodeEnd(record store.Record) (end quarantine.End, removed bool, err error) {
	fingerprint, server, ok := parseKey(record.Key)
	if !ok {
		return quarantine.End{}, false, eris.Errorf("key %q names no end of a server", record.Key)
	}
	end = quarantine.End{Fingerprint: fingerprint, Server: server}
	if len(record.Value) == 0 {
		return end, true, nil
	}
	var decoded endRecord
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&decoded); err != nil {
		return quarantine.End{}, false, eris.Wrapf(err, "decode the end of server %s", server.ID)
	}
	end.At, end.Progressed = time.UnixMilli(decoded.At), decoded.Progressed
	return end, false, nil
}
