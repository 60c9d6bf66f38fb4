package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sizes of the case. The service has the servers of the site's portal-app.
const (
	garbleNodes   = 4
	garbleServers = 4
	// callersPerNode callers send one request after the other to each node. Together they keep more requests under way
	// than the servers run at once, so that servers that are full reject some.
	callersPerNode = 12
	// callPause is the pause between two requests of a caller.
	callPause = 10 * time.Millisecond
	// The largest dose in the site file: share = 0.6, x = 0.03, for_s = 5.0, how = "extra late".
	garbleShare  = 0.6
	garbleAnswer = 0.03
	garbleTime   = 5 * time.Second
	// garbleTimes is how often it strikes, garbleGap the time between.
	garbleTimes = 7
	garbleGap   = 4 * time.Second
)

// attempt is a request of a client, and what became of it.
type attempt struct {
	unsafe bool
	status int
	runs   []string
}

// attempts holds all requests by id.
type attempts struct {
	record *recorder
	mutex  sync.Mutex
	byID   map[string]*attempt
	answer map[string]int
}

func (a *attempts) ran(id, server string, _ time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sent := a.byID[id]
	if sent == nil {
		a.record.breaks("UNASKED", "server %s runs %q, which no client sent", server, id)
		return
	}
	sent.runs = append(sent.runs, server)
	if sent.unsafe && len(sent.runs) == 2 {
		a.record.breaks("TWICE", "the request %s of an unsafe route runs a second time: at %v", id, sent.runs)
	}
}

// playGarble has faulty servers send a second copy of some answers late. Rule TWICE: a request that is not idempotent
// must not run more than once; rule REFUSED: one that was answered with 503 must not run.
func playGarble(t *trial) error {
	store, address, err := t.startStore(300 * time.Second)
	if err != nil {
		return err
	}
	all := &attempts{record: t.record, byID: make(map[string]*attempt), answer: make(map[string]int)}
	var servers []*plainServer
	for i := range garbleServers {
		listener, err := listen()
		if err != nil {
			return err
		}
		p := newPlainServer(fmt.Sprintf("i-app%02d", i+1), listener.Addr().String(), zones[i%len(zones)], store, t.record, t.seed*100+uint64(i))
		p.onRun = all.ran
		servers = append(servers, p)
		go p.serve(listener)
		go p.beat(plainService)
	}
	if err := t.startNodes(garbleNodes, address, false); err != nil {
		return err
	}
	t.record.note("all nodes are ready")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range t.nodes {
		for c := range callersPerNode {
			callers.Go(func() { all.call(t.nodes[n].requests, fmt.Sprintf("%d-%d-%d", t.seed, n, c), stop) })
		}
	}
	err = t.strike(servers)
	close(stop)
	callers.Wait()
	all.checkRefused()
	answers, shed, extra, extraShed := 0, 0, 0, 0
	for _, p := range servers {
		p.mutex.Lock()
		answers, shed, extra, extraShed = answers+p.answers, shed+p.shed, extra+p.extra, extraShed+p.extraShed
		p.mutex.Unlock()
	}
	summary := fmt.Sprintf("%d requests; servers gave %d answers, %d of them rejections (503, not executed); %d answers are sent twice, %d of them rejections; clients got %v",
		len(all.byID), answers, shed, extra, extraShed, all.answer)
	t.record.note("%s", summary)
	fmt.Println(summary)
	return err
}

// strike lets traffic run, and some servers be faulty for some time.
func (t *trial) strike(servers []*plainServer) error {
	for range garbleTimes {
		if err := t.pause(garbleGap); err != nil {
			return err
		}
		if t.trouble {
			now := time.Now()
			faulty := int(garbleShare * float64(len(servers)))
			for _, p := range servers[:faulty] {
				p.garble(garbling{from: now, to: now.Add(garbleTime), share: garbleAnswer})
			}
			t.record.note("garble extra late: %d of %d servers send %.2f of their answers twice, for %v", faulty, len(servers), garbleAnswer, garbleTime)
		}
		if err := t.pause(garbleTime); err != nil {
			return err
		}
	}
	return t.pause(2 * time.Second)
}

// call sends one request after the other: every second one on the unsafe route.
func (a *attempts) call(address, name string, stop chan struct{}) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		default:
		}
		retryAfter := a.send(&client, address, fmt.Sprintf("r%s-%d", name, number), number%2 == 0)
		time.Sleep(max(callPause, retryAfter))
	}
}

// send sends a request and returns the Retry-After of the answer.
func (a *attempts) send(client *http.Client, address, id string, unsafe bool) (retryAfter time.Duration) {
	a.mutex.Lock()
	sent := &attempt{unsafe: unsafe}
	a.byID[id] = sent
	a.mutex.Unlock()
	path := safePath
	if unsafe {
		path = unsafePath
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path+"2f", bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		return 0
	}
	request.Host = callerHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	response, err := client.Do(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status = response.StatusCode
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sent.status = status
	a.answer[fmt.Sprint(status)]++
	return retryAfter
}

// checkRefused checks rule REFUSED.
func (a *attempts) checkRefused() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, sent := range a.byID {
		refused := sent.status == 429 || sent.status == 503 || sent.status == 408 || sent.status == 421
		if sent.unsafe && refused && len(sent.runs) > 0 {
			a.record.breaks("REFUSED", "the request %s of an unsafe route was answered %d, and it ran at %v", id, sent.status, sent.runs)
		}
	}
}
