package drain

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// A goroutine whose connection always has data does not block, and keeps its processor until it is preempted after
// 10 ms. Some hundred of them would make each step of the other requests wait for seconds. So only some goroutines at a
// time process the later parts of long requests, and clients that send ahead, or in tiny pieces, are slowed down.
const (
	// freeReads is the number of reads of a request that are processed at once, bulkHeadCost the cost of a part of a
	// head from which it is not. Ordinary requests take no more.
	freeReads    = 2
	bulkHeadCost = 24 << 10
	// smallReadBytes is the size below which a read costs more than its bytes are worth.
	smallReadBytes = 512
	// freeSmallReads is the number of small reads of a request that are not slowed down, freeSentAhead the number of
	// requests that had arrived before the response to the one before was written.
	freeSmallReads = 32
	freeSentAhead  = 2
	// smallReadsPerSecond and sentAheadPerSecond are the numbers of further ones of both for each processor, over all
	// connections of a server. A thousand take a few percent of a processor.
	smallReadsPerSecond = 2000
	sentAheadPerSecond  = 500
	// lightBodyBytes is the size of a body up to which a request is light, if its head takes no more than bulkHeadCost.
	lightBodyBytes = 4 << 10
	// lightStarts and heavyStarts are the numbers of light and of other requests for each processor that are on their
	// way to a server. Further ones wait where they take no processor time, and are refused after maxStartWait: their
	// clients would not wait much longer for an answer.
	lightStarts  = 256
	heavyStarts  = 64
	maxStartWait = 500 * time.Millisecond
	// maxStartTime is the time after which a request no longer counts as one on its way.
	maxStartTime = time.Second
)

// pacer slows down what costs a server more than it costs its clients.
type pacer struct {
	// bulkTokens holds a token for each goroutine that processes a later part of a long request. They leave half of
	// the processors, or the time between two reads on the only one, to other requests.
	bulkTokens            chan struct{}
	smallReads, sentAhead *rate.Limiter
	// lightStarts and heavyStarts hold a token for each request on its way to a server.
	lightStarts, heavyStarts chan struct{}
}

func newPacer() *pacer {
	processors := runtime.GOMAXPROCS(0)
	limiter := func(perSecond int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond*processors), processors)
	}
	return &pacer{
		bulkTokens:  make(chan struct{}, max(1, processors/2)),
		lightStarts: make(chan struct{}, lightStarts*processors), heavyStarts: make(chan struct{}, heavyStarts*processors),
		smallReads: limiter(smallReadsPerSecond), sentAhead: limiter(sentAheadPerSecond),
	}
}

// maxPause bounds a single pause, so that connections that have to wait still notice their end.
const maxPause = time.Second

// pauseFor waits until a limiter permits one more event, or for maxPause.
func pauseFor(limiter *rate.Limiter) {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay > maxPause {
		reservation.Cancel()
		delay = maxPause
	}
	time.Sleep(delay)
}

// paceRead delays the processing of what a read returned, after some reads of the same request, or if it is a part of a
// head that takes more than ordinary ones.
func (c *conn) paceRead(count int, cost int64) {
	c.mutex.Lock()
	c.reads++
	if count < smallReadBytes {
		c.smallReads++
	}
	bulk := c.reads > freeReads || cost > bulkHeadCost
	slow := c.smallReads > freeSmallReads && count < smallReadBytes
	c.mutex.Unlock()
	if slow {
		pauseFor(c.server.pacer.smallReads)
	}
	if bulk {
		c.server.pacer.bulkTokens <- struct{}{}
		c.bulk.Store(true)
	}
}

// endBulk ends the processing of what the last read returned. It is called before anything that may block.
func (c *conn) endBulk() {
	if c.bulk.Swap(false) {
		<-c.server.pacer.bulkTokens
	}
}

// paceRequest pauses before a request is handled whose client sends requests ahead. It returns false if the connection has
// to give way to others meanwhile, or the request's context ends.
func (c *conn) paceRequest(ctx context.Context) bool {
	if !c.sendsAhead() {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setPause(cancel)
	defer c.setPause(nil)
	return c.server.pacer.sentAhead.Wait(ctx) == nil
}

// sendsAhead counts a request and reports whether its client sends requests ahead.
func (c *conn) sendsAhead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readSinceIdle {
		c.sentAhead = max(c.sentAhead-1, 0)
	} else {
		c.sentAhead++
	}
	return c.sentAhead > freeSentAhead
}

// setPause sets the function that ends the pause of the request in progress; nil if it does not pause.
func (c *conn) setPause(end context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.endPause, c.progressAt = end, time.Now()
}

// beginRequest waits until a request may begin. It returns false if that takes too long. EndStart or endStart ends what
// it begins.
func (c *conn) beginRequest(r *http.Request) bool {
	starts := c.server.pacer.heavyStarts
	if r.ContentLength >= 0 && r.ContentLength <= lightBodyBytes && parsedHeadCost(r) <= bulkHeadCost {
		starts = c.server.pacer.lightStarts
	}
	if !awaitToken(r.Context(), starts) {
		return false
	}
	release := sync.OnceFunc(func() { <-starts })
	timer := time.AfterFunc(maxStartTime, release)
	end := func() {
		timer.Stop()
		release()
	}
	c.start.Store(&end)
	return true
}

// endStart ends the start of the request in progress.
func (c *conn) endStart() {
	if end := c.start.Swap(nil); end != nil {
		(*end)()
	}
}

// EndStart records that a request is on its way to a server, or waits for something else: from now on it takes little
// processor time.
func EndStart(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.endStart()
	}
}

// awaitToken puts a token into a channel; it returns false if there is no room within maxStartWait.
func awaitToken(ctx context.Context, tokens chan<- struct{}) bool {
	select {
	case tokens <- struct{}{}:
		return true
	default:
	}
	limit := time.NewTimer(maxStartWait)
	defer limit.Stop()
	select {
	case tokens <- struct{}{}:
		return true
	case <-limit.C:
		return false
	case <-ctx.Done():
		return false
	}
}
