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
	// At is the time of day at which the end was seen, in Unix milliseconds, by the clock of the machine that saw
	// it. Nodes of earlier builds compare it with their own; this one tells it for them alone.
	At int64
	// Age is how long before the record was sent the end had been seen, in milliseconds. Builds that do
	// not tell it stand for 0: whoever reads a record knows that the end came before.
	Age int64
	// Node is the process that saw it.
	Node string
	// Progressed says that the request had made events.
	Progressed bool
}

// finding is what a node tells the others: that a server ended under a request, or that this no longer counts.
type finding struct {
	end       quarantine.End
	takenBack bool
}

// sender is the node that writes a record, with its clocks at that time.
type sender struct {
	node string
	// now is by package clock.
	now, timeOfDay time.Time
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

// encodeFinding returns the record of a finding.
func encodeFinding(found finding, by sender) (store.Record, error) {
	end := found.end
	record := store.Record{Key: recordKey(end.Fingerprint, end.Server)}
	if found.takenBack {
		return record, nil
	}
	age := by.now.Sub(end.At)
	value := endRecord{At: by.timeOfDay.Add(-age).UnixMilli(), Age: age.Milliseconds(), Node: by.node, Progressed: end.Progressed}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
		return store.Record{}, eris.Wrapf(err, "encode the end of server %s", end.Server.ID)
	}
	record.Value = encoded.Bytes()
	return record, nil
}

// A verdict is the record of an end that names no server: it says that the request's proof stands
// until it is cleared.
func isVerdict(end quarantine.End) bool { return end.Server == directory.Incarnation{} }

// verdictOn returns the verdict on a request.
func verdictOn(fingerprint quarantine.Fingerprint) quarantine.End {
	return quarantine.End{Fingerprint: fingerprint}
}

// oldestTold bounds the age of an end that is read: by then it is long forgotten.
const oldestTold = time.Hour

// decodeFinding reads a record at a time by package clock.
func decodeFinding(now time.Time, record store.Record) (finding, error) {
	fingerprint, server, ok := parseKey(record.Key)
	if !ok {
		return finding{}, eris.Errorf("key %q names no end of a server", record.Key)
	}
	end := quarantine.End{Fingerprint: fingerprint, Server: server}
	if len(record.Value) == 0 {
		return finding{end: end, takenBack: true}, nil
	}
	var decoded endRecord
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&decoded); err != nil {
		return finding{}, eris.Wrapf(err, "decode the end of server %s", server.ID)
	}
	age := min(max(decoded.Age, 0), oldestTold.Milliseconds())
	end.At, end.Progressed = now.Add(-time.Duration(age)*time.Millisecond), decoded.Progressed
	return finding{end: end}, nil
}
