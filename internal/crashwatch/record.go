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

// endRecord is the value of an end's record in the store. The key names the request and the server,
// so that nodes that saw the same end write the same key, and an end is retracted by removing the
// key.
type endRecord struct {
	// At is the time of day of the end in Unix milliseconds, by the clock of the machine that saw
	// it. Only older builds read it, and compare it with their own clock.
	At int64
	// Age is the time from the end to the sending of the record, in milliseconds; 0 in records of
	// older builds, since the end precedes any read of its record.
	Age int64
	// Node is the process that saw the end.
	Node string
	// Progressed says that the request had produced events.
	Progressed bool
}

// finding is what a node shares with the others: the end of a server under a request, or its
// retraction.
type finding struct {
	end       quarantine.End
	retracted bool
}

// sender is the node that writes a record, with its clocks at that time.
type sender struct {
	node string
	// now is a time of package clock.
	now, timeOfDay time.Time
}

// Separators in a record's key. A fingerprint is hexadecimal, the birth time decimal.
const (
	serverSeparator = "@"
	bornSeparator   = "#"
)

func recordKey(fingerprint quarantine.Fingerprint, server directory.Incarnation) string {
	return fingerprint.String() + serverSeparator + server.ID + bornSeparator + strconv.FormatInt(server.Born, 10)
}

func parseKey(key string) (fingerprint quarantine.Fingerprint, server directory.Incarnation, ok bool) {
	digits, rest, found := strings.Cut(key, serverSeparator)
	at := strings.LastIndex(rest, bornSeparator)
	if !found || at < 0 {
		return quarantine.Fingerprint{}, directory.Incarnation{}, false
	}
	born, err := strconv.ParseInt(rest[at+len(bornSeparator):], 10, 64)
	fingerprint, valid := quarantine.ParseFingerprint(digits)
	return fingerprint, directory.Incarnation{ID: rest[:at], Born: born}, valid && err == nil
}

// encodeFinding returns the record of a finding.
func encodeFinding(found finding, sender sender) (store.Record, error) {
	end := found.end
	record := store.Record{Key: recordKey(end.Fingerprint, end.Server)}
	if found.retracted {
		return record, nil
	}
	age := sender.now.Sub(end.At)
	value := endRecord{At: sender.timeOfDay.Add(-age).UnixMilli(), Age: age.Milliseconds(), Node: sender.node, Progressed: end.Progressed}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
		return store.Record{}, eris.Wrapf(err, "encode the end of server %s", end.Server.ID)
	}
	record.Value = encoded.Bytes()
	return record, nil
}

// isConfirmation reports whether an end is a confirmation: one without a server, which says that
// the request remains held until it is cleared, whatever other ends are recorded.
func isConfirmation(end quarantine.End) bool { return end.Server == directory.Incarnation{} }

// confirmationOf returns the confirmation for a request.
func confirmationOf(fingerprint quarantine.Fingerprint) quarantine.End {
	return quarantine.End{Fingerprint: fingerprint}
}

// maxReportedAge bounds the age of an end that is read; ends are forgotten long before.
const maxReportedAge = time.Hour

// decodeFinding decodes a record; now is a time of package clock.
func decodeFinding(now time.Time, record store.Record) (finding, error) {
	fingerprint, server, ok := parseKey(record.Key)
	if !ok {
		return finding{}, eris.Errorf("malformed key %q", record.Key)
	}
	end := quarantine.End{Fingerprint: fingerprint, Server: server}
	if len(record.Value) == 0 {
		return finding{end: end, retracted: true}, nil
	}
	var decoded endRecord
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&decoded); err != nil {
		return finding{}, eris.Wrapf(err, "decode the end of server %s", server.ID)
	}
	age := min(max(decoded.Age, 0), maxReportedAge.Milliseconds())
	end.At, end.Progressed = now.Add(-time.Duration(age)*time.Millisecond), decoded.Progressed
	return finding{end: end}, nil
}
