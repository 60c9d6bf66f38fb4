package soak

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dalehook/internal/store"
	"dalehook/internal/store/storetest"
)

// partitions is the number of partitions of the store's topics.
const partitions = 4

// storeStandIn is the platform's store, shared by all nodes. Each node has a door
// of its own to it, so that the store can fail for some nodes alone.
type storeStandIn struct {
	memory *storetest.Memory
}

// storeFault is how a door treats the calls that come through it.
type storeFault int

const (
	storeFine storeFault = iota
	// storeRefuses answers 503 and does nothing.
	storeRefuses
	// storeThrottles answers 429 to half of the calls.
	storeThrottles
	// storeSlow answers after slowAnswer.
	storeSlow
	// storeLoses does what it is asked and breaks the connection, for half of the
	// writes.
	storeLoses
	// storeLate carries half of the writes out seconds later, unanswered.
	storeLate
	// storeSilent answers nothing and does nothing.
	storeSilent
)

var storeFaultNames = [...]string{"fine", "refuses", "throttles", "slow", "loses answers", "writes late", "silent"}

func (f storeFault) String() string { return storeFaultNames[f] }

const (
	slowAnswer = 250 * time.Millisecond
	latest     = 3 * time.Second
	faultShare = 0.5
)

// door is one node's way to the store.
type door struct {
	store  *storeStandIn
	server *httptest.Server
	link   *proxy

	mutex sync.Mutex
	fault storeFault
}

func newDoor(t *testing.T, store *storeStandIn) *door {
	d := &door{store: store}
	d.server = httptest.NewServer(d)
	d.link = newProxy(t, strings.TrimPrefix(d.server.URL, "http://"))
	return d
}

func (d *door) address() string { return d.link.address() }

func (d *door) setFault(fault storeFault) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fault = fault
}

func (d *door) current() storeFault {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fault
}

func (d *door) close() {
	d.link.close()
	d.server.CloseClientConnections()
	d.server.Close()
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	struck := rand.Float64() < faultShare
	switch fault := d.current(); {
	case fault == storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == storeThrottles && struck:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case fault == storeSlow:
		time.Sleep(slowAnswer)
	case fault == storeSilent:
		awaitLeave(r)
		return
	case (fault == storeLoses || fault == storeLate) && struck && r.Method == http.MethodPost:
		d.withhold(r, fault == storeLate)
		panic(http.ErrAbortHandler)
	}
	d.store.ServeHTTP(w, r)
}

// awaitLeave waits until the caller has left. The server notices that only once the
// whole body was read.
func awaitLeave(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// withhold carries a call out without answering it.
func (d *door) withhold(r *http.Request, late bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	carryOut := func() {
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		d.store.ServeHTTP(httptest.NewRecorder(), again)
	}
	if !late {
		carryOut()
		return
	}
	time.AfterFunc(time.Duration(rand.Int64N(int64(latest))), carryOut)
}

var topics = map[string]store.Topic{
	"keyed.op": store.TopicOperator, "keyed.servers": store.TopicServers, "jobs": store.TopicJobs,
	"progress": store.TopicProgress, "leases": store.TopicLeases, "relay": store.TopicServerRelay,
}

func (s *storeStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	topic, known := topics[query.Get("topic")]
	at := store.Partition{Topic: topic, Number: number}
	switch call := strings.TrimPrefix(r.URL.Path, "/-/log-"); {
	case call == "trim":
		s.trim(w, r)
	case !known:
		w.WriteHeader(http.StatusBadRequest)
	case call == "append":
		s.append(w, r, at)
	case call == "read":
		s.read(w, r, at)
	case call == "newest":
		s.newest(w, r, at)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *storeStandIn) trim(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Topic  string
		Part   int
		Before int64
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = s.memory.Trim(r.Context(), store.Partition{Topic: topics[body.Topic], Number: body.Part}, body.Before)
}

func (s *storeStandIn) append(w http.ResponseWriter, r *http.Request, at store.Partition) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var payloads [][]byte
	for len(body) > 0 {
		size := binary.BigEndian.Uint32(body)
		payloads = append(payloads, body[4:4+size])
		body = body[4+size:]
	}
	var offset int64
	if condition := r.URL.Query().Get("timestamp"); condition != "" {
		end, _ := strconv.ParseInt(condition, 10, 64)
		offset, err = s.memory.AppendAt(r.Context(), at, end, payloads)
	} else {
		offset, err = s.memory.Append(r.Context(), at, payloads)
	}
	var failed *store.ConditionError
	if errors.As(err, &failed) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, failed.End)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+int64(len(payloads)))
}

func (s *storeStandIn) read(w http.ResponseWriter, r *http.Request, at store.Partition) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("startKey"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	batch, err := s.memory.Read(r.Context(), at, from, time.Duration(wait)*time.Millisecond)
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		w.WriteHeader(http.StatusGone)
		fmt.Fprintf(w, `{"first":%d}`, trimmed.First)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for _, record := range batch.Records {
		payload := record.Value
		if at.Topic == store.TopicOperator || at.Topic == store.TopicServers {
			payload = append(append([]byte{byte(len(record.Key))}, record.Key...), record.Value...)
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(payload)))
		answer = append(answer, payload...)
	}
	_, _ = w.Write(answer)
}

// newestPageSize is the number of records on a page.
const newestPageSize = 3

func (s *storeStandIn) newest(w http.ResponseWriter, r *http.Request, at store.Partition) {
	records, end, err := s.memory.Newest(r.Context(), at.Topic)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if after := r.URL.Query().Get("afterRevision"); after != "" {
		for len(records) > 0 && records[0].Key != after {
			records = records[1:]
		}
		records = records[min(1, len(records)):]
	}
	page := []map[string]any{}
	for _, record := range records[:min(newestPageSize, len(records))] {
		page = append(page, map[string]any{
			"privateKey": record.Key, "offset": record.Offset, "value": base64.StdEncoding.EncodeToString(record.Value),
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"requests": page, "more": len(records) > newestPageSize, "end": end})
}
