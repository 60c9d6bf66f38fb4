package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for a call (SYSTEM.md: 4 ms an answer).
const storeAnswerTime = 4 * time.Millisecond

// storeRecord is a record of a partition.
type storeRecord struct {
	key   string
	value []byte
	at    time.Time
}

// storePartition is one partition. Its first records may have been removed.
type storePartition struct {
	first   int64
	records []storeRecord
	changed chan struct{}
}

func (p *storePartition) end() int64 { return p.first + int64(len(p.records)) }

// outage is a time in which the store accepts calls but answers none. A share of the writing calls is carried
// out late, if the store is back by then; the others are not carried out.
type outage struct {
	from, to  time.Time
	lateShare float64
	minLate   time.Duration
	maxLate   time.Duration
}

// standinStore is the platform's store as PROTOCOL.md describes it.
type standinStore struct {
	record *recorder
	// keep is the time after which records without a key are removed, oldest first.
	keep time.Duration

	mutex      sync.Mutex
	partitions map[string]*storePartition
	outage     outage
	random     *rand.Rand
}

func newStandinStore(record *recorder, keep time.Duration, seed uint64) *standinStore {
	s := &standinStore{record: record, keep: keep, partitions: make(map[string]*storePartition), random: rand.New(rand.NewPCG(seed, 1))}
	go s.removeOld()
	return s
}

func partitionName(topic string, part int) string { return topic + "/" + strconv.Itoa(part) }

func (s *standinStore) partitionLocked(name string) *storePartition {
	p := s.partitions[name]
	if p == nil {
		p = &storePartition{changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// removeOld removes the records that are older than keep. The newest record of each key is kept for good, so
// topics with keys are left alone.
func (s *standinStore) removeOld() {
	for range time.Tick(200 * time.Millisecond) {
		s.mutex.Lock()
		for name, p := range s.partitions {
			if strings.HasPrefix(name, "keyed.") {
				continue
			}
			old := 0
			for old < len(p.records) && time.Since(p.records[old].at) > s.keep {
				old++
			}
			p.first += int64(old)
			p.records = p.records[old:]
		}
		s.mutex.Unlock()
	}
}

// firstKept returns the offset of the first record that a partition still has.
func (s *standinStore) firstKept(topic string, part int) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partitionLocked(partitionName(topic, part)).first
}

// put writes a record of a keyed topic for the operator, a trainer or a server.
func (s *standinStore) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appendLocked(s.partitionLocked(partitionName(topic, 0)), []storeRecord{{key: key, value: text}})
}

func (s *standinStore) appendLocked(p *storePartition, records []storeRecord) int64 {
	offset := p.end()
	for _, r := range records {
		r.at = time.Now()
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

func (s *standinStore) setOutage(o outage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outage = o
}

// silent reports whether the store answers no call now, and for a writing call after which time it is carried
// out; 0 means never.
func (s *standinStore) silent(writes bool) (silent bool, lateBy time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.Before(s.outage.from) || !now.Before(s.outage.to) {
		return false, 0
	}
	if writes && s.random.Float64() < s.outage.lateShare {
		lateBy = s.outage.minLate + time.Duration(s.random.Float64()*float64(s.outage.maxLate-s.outage.minLate))
	}
	if now.Add(lateBy).Before(s.outage.to) {
		lateBy = 0
	}
	return true, lateBy
}

// ServeHTTP implements http.Handler.
func (s *standinStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/-/log-")
	if silent, lateBy := s.silent(call == "append"); silent {
		if lateBy > 0 {
			s.appendLate(r, body, lateBy)
		}
		// A call without an answer: the connection says nothing more.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswerTime)
	switch call {
	case "append":
		s.serveAppend(w, r, body)
	case "read":
		s.serveRead(w, r)
	case "newest":
		s.serveNewest(w, r)
	case "trim":
		s.serveTrim(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *standinStore) appendLate(r *http.Request, body []byte, lateBy time.Duration) {
	query, sentAt := r.URL.Query(), time.Now()
	time.AfterFunc(lateBy, func() {
		topic, part := query.Get("topic"), query.Get("part")
		status, offset, _ := s.tryAppend(topic, part, query.Get("timestamp"), body)
		if topic == "jobs" {
			s.record.note("store: an append to %s/%s (%d bytes) that got no answer at %s is carried out %.1f s later: status %d, offset %d, %s",
				topic, part, len(body), s.record.at(sentAt), lateBy.Seconds(), status, offset, describe(body))
		}
	})
}

// describe returns the ids of batch jobs that records contain, for the record only.
func describe(body []byte) string {
	text := string(body)
	found := strings.Index(text, "job-")
	if found < 0 {
		return "no job"
	}
	id := text[found:]
	if cut := strings.IndexAny(id, `"\`); cut > 0 {
		id = id[:cut]
	}
	return id
}

func (s *standinStore) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	status, offset, end := s.tryAppend(topic, query.Get("part"), query.Get("timestamp"), body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": end})
}

func (s *standinStore) tryAppend(topic, part, condition string, body []byte) (status int, offset, end int64) {
	records, ok := splitRecords(body, strings.HasPrefix(topic, "keyed."))
	number, err := strconv.Atoi(part)
	if !ok || err != nil {
		return http.StatusBadRequest, 0, 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.partitionLocked(partitionName(topic, number))
	if condition != "" && condition != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, 0, p.end()
	}
	if topic == "leases" {
		s.noteClaimsLocked(p, records)
	}
	offset = s.appendLocked(p, records)
	return http.StatusOK, offset, p.end()
}

// noteClaimsLocked writes the claims of the lease into the record as they are, with the record before them. It decides
// nothing: the store does not know what the records mean.
func (s *standinStore) noteClaimsLocked(p *storePartition, records []storeRecord) {
	for _, r := range records {
		if !strings.Contains(string(r.value), "claim") {
			continue
		}
		before := "none is kept"
		if n := len(p.records); n > 0 {
			last := p.records[n-1]
			before = fmt.Sprintf("%.2f s before: %s", time.Since(last.at).Seconds(), last.value)
		}
		s.record.note("store: leases/0 gets %s (the record before it, %s)", r.value, before)
	}
}

// splitRecords splits a body into its records, each of which follows its length.
func splitRecords(body []byte, keyed bool) (records []storeRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		r := storeRecord{value: body[4 : 4+size]}
		body = body[4+size:]
		if keyed {
			if len(r.value) == 0 || len(r.value) < 1+int(r.value[0]) {
				return nil, false
			}
			keySize := int(r.value[0])
			r.key, r.value = string(r.value[1:1+keySize]), r.value[1+keySize:]
		}
		records = append(records, r)
	}
	return records, true
}

func (s *standinStore) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	from, _ := strconv.ParseInt(query.Get("startKey"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	topic := query.Get("topic")
	wait := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		s.mutex.Lock()
		p := s.partitionLocked(partitionName(topic, part))
		if from < p.first {
			first := p.first
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		}
		changed, end, first := p.changed, p.end(), p.first
		var records []storeRecord
		if from < end {
			records = append(records, p.records[from-first:]...)
		}
		s.mutex.Unlock()
		expired := false
		if len(records) == 0 && waitMs > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-wait.C:
				expired = true
			}
		}
		if len(records) > 0 || expired || waitMs <= 0 {
			_, _ = w.Write(encodeRead(end, first, records, strings.HasPrefix(topic, "keyed."), maxKB<<10))
			return
		}
	}
}

func encodeRead(end, first int64, records []storeRecord, keyed bool, maxBytes int) []byte {
	answer := binary.BigEndian.AppendUint64(nil, uint64(end))
	answer = binary.BigEndian.AppendUint64(answer, uint64(first))
	for i, r := range records {
		if i > 0 && len(answer)+len(r.value) > maxBytes {
			break
		}
		value := r.value
		if keyed {
			value = append(append([]byte{byte(len(r.key))}, r.key...), r.value...)
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(value)))
		answer = append(answer, value...)
	}
	return answer
}

// newestPageSize is the largest number of records in a page of newest records.
const newestPageSize = 500

func (s *standinStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	s.mutex.Lock()
	p := s.partitionLocked(partitionName(query.Get("topic"), part))
	newest := make(map[string]int)
	for i, r := range p.records {
		newest[r.key] = i
	}
	var keys []string
	for key, i := range newest {
		if len(p.records[i].value) > 0 && key > query.Get("afterRevision") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > newestPageSize
	keys = keys[:min(len(keys), newestPageSize)]
	page := []map[string]any{}
	for _, key := range keys {
		i := newest[key]
		page = append(page, map[string]any{
			"privateKey": key, "value": base64.StdEncoding.EncodeToString(p.records[i].value), "offset": p.first + int64(i),
		})
	}
	end := p.end()
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"requests": page, "more": more, "end": end})
}

func (s *standinStore) serveTrim(w http.ResponseWriter, body []byte) {
	var call struct {
		Topic  string `json:"topic"`
		Part   int    `json:"part"`
		Before int64  `json:"before"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.partitionLocked(partitionName(call.Topic, call.Part))
	if before := min(call.Before, p.end()); before > p.first {
		p.records = p.records[before-p.first:]
		p.first = before
	}
	w.WriteHeader(http.StatusOK)
}
