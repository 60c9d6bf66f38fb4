package serverlist

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dalehook/internal/clock"
	"dalehook/internal/directory"
	"dalehook/internal/follow"
	"dalehook/internal/pause"
	"dalehook/internal/store"
)

// determineSize reads the list as far as a page may reach. In a small fleet that is the whole list; in a
// large one the rest is not read, since 1,000 nodes reading 10,000 entries each exceed the capacity of a
// store. It ends early if this node takes the list from elsewhere.
func (l *List) determineSize(ctx context.Context) {
	read := sizeRead{log: l.options.Log}
	for ctx.Err() == nil && !l.options.Leading() && l.needsSize(clock.Now()) {
		done, err := read.nextPage(ctx)
		if err != nil {
			l.options.Logger.Warn("size of the fleet not learned", zap.Int("servers", len(read.records)), zap.Error(err))
			pause.For(ctx, checkInterval+l.jitter(sizeRetryDelay))
			continue
		}
		if done {
			l.recordSize(read)
			return
		}
	}
}

// recordSize takes the list if it was read whole. The list counts as complete only if it was read quickly and
// there is still no relay: otherwise the changes since the first page are read first, or the relay's list is
// taken, whose later changes do not apply to an older list.
func (l *List) recordSize(read sizeRead) {
	if !read.more {
		l.replaceServers(read.records)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sizeKnown, l.exceedsPage = true, read.more
	if read.more {
		return
	}
	l.nextOffset = read.end
	if now := clock.Now(); !l.hasRelayLocked() && now.Sub(read.startedAt) <= sizeReadTimeout {
		l.complete = true
		l.options.Directory.MarkRead(now)
	}
}

// sizeRead reads the newest entries of at least the first directReadLimit servers page by page. A page
// that was read is not read again after a failure: under load no attempt might reach the end within its
// time, and the repeated reads would add to that load. Each page has at least one further server, so
// that at most directReadLimit pages are read, and the entries of that many servers and one page are
// held.
type sizeRead struct {
	log     store.Log
	records []store.Record
	// startedAt is the time of the request for the first page, end the topic's end according to that page:
	// later changes are read from there.
	startedAt time.Time
	end       int64
	// more is set if further servers follow.
	more bool
}

// nextPage reads the next page; done is set if no further one is needed.
func (r *sizeRead) nextPage(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, sizeReadTimeout)
	defer cancel()
	after := ""
	if len(r.records) > 0 {
		after = r.records[len(r.records)-1].Key
	}
	requestedAt := clock.Now()
	page, err := store.ReadNewestPage(ctx, r.log, store.TopicServers, after)
	if err != nil {
		return false, err
	}
	if len(r.records) == 0 {
		r.startedAt, r.end = requestedAt, page.End
	}
	r.records = append(r.records, page.Records...)
	r.more = page.More && len(page.Records) > 0
	return !r.more || len(r.records) >= directReadLimit, nil
}

// runHeartbeats reads the heartbeats while this node is to, and makes the directory follow the relay
// otherwise.
func (l *List) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		switch {
		case l.options.Leading():
			l.followHeartbeats(ctx)
		case l.needsSize(now):
			l.determineSize(ctx)
		case l.wantsHeartbeats(now):
			l.followHeartbeats(ctx)
		case l.canAdoptRelay(now):
			l.adoptRelay()
		}
		l.waitForNextCheck(ctx)
	}
}

// waitForNextCheck waits for the next check; the wait is short until the relay has been read for the first
// time.
func (l *List) waitForNextCheck(ctx context.Context) {
	l.mutex.Lock()
	known := l.relayCaughtUp
	l.mutex.Unlock()
	if known {
		pause.For(ctx, checkInterval)
		return
	}
	pause.For(ctx, checkInterval/20)
}

// followHeartbeats reads the heartbeats until the relay takes over, or until this node needs the weight
// versions that it did not read.
func (l *List) followHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leading := l.options.Leading()
	from, known, versions := l.beginHeartbeats(leading)
	maxBytes := 0
	if l.readsTentatively(leading) {
		maxBytes = tentativeReadBytes
	}
	l.options.Logger.Info("list read from heartbeats", zap.Bool("leading", leading), zap.Bool("known", known), zap.Int64("offset", from))
	var watch conc.WaitGroup
	watch.Go(func() { l.stopWhenRelayed(ctx, cancel, versions) })
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: l.options.Log, Topic: store.TopicServers, MinInterval: l.options.MinReadInterval, Wait: l.options.ReadWait, Logger: l.options.Logger,
		Replace: l.replaceServers, Change: l.applyEntries, From: from, FromKnown: known, MaxBytes: maxBytes,
		OnRead: func(next int64, end bool, _ time.Time) {
			l.recordHeartbeatRead(next, end)
			if l.readsTentatively(leading) && l.stopIfPageExceeded() {
				cancel()
			}
		},
	})
	cancel()
	watch.Wait()
}

// readsTentatively reports whether this node reads the heartbeats without knowing whether it should: the
// servers may be starting at the same time.
func (l *List) readsTentatively(leading bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !leading && !l.hasRelayLocked() && !l.mustStartRelayLocked(clock.Now())
}

// stopIfPageExceeded stops the reading of heartbeats if more servers have appeared than fit a page, and
// reports whether it did: the list is then taken from the relay.
func (l *List) stopIfPageExceeded() bool {
	count := l.options.Directory.Snapshot().Count()
	if count < directReadLimit {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.exceedsPage, l.readsHeartbeats, l.hasFullList, l.complete = true, false, false, false
	l.options.Logger.Info("list too long to be read by each node", zap.Int("servers", count))
	return true
}

// beginHeartbeats returns the offset from which the heartbeats are to be read if the list before it is
// known, either from earlier reads or from the relay. A coordinator starts with the newest entries, which
// have weight versions; versions is set if the list will have them.
func (l *List) beginHeartbeats(leading bool) (from int64, known, versions bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readsHeartbeats = true
	if !l.hasFullList && l.hasRelayLocked() {
		l.hasFullList, l.nextOffset = true, l.relay.heartbeatOffset
		l.options.Directory.Replace(l.relay.listServers())
	}
	known = l.hasFullList && (l.hasVersions || !leading)
	return l.nextOffset, known, l.hasVersions || !known
}

// stopWhenRelayed stops the reading of heartbeats once the relay is to be followed, or once this node is
// the coordinator and the reading does not yield weight versions.
func (l *List) stopWhenRelayed(ctx context.Context, stop context.CancelFunc, versions bool) {
	for pause.For(ctx, l.checkPause()) {
		leading := l.options.Leading()
		if l.wantsHeartbeats(clock.Now()) && (versions || !leading) {
			continue
		}
		stop()
		return
	}
}

// adoptRelay replaces the directory by the relayed list.
func (l *List) adoptRelay() {
	l.mutex.Lock()
	l.readsHeartbeats, l.hasVersions, l.hasFullList, l.complete = false, false, true, true
	l.nextOffset = l.relay.heartbeatOffset
	next, servers := l.nextOffset, l.relay.listServers()
	l.options.Directory.Replace(servers)
	l.options.Directory.MarkRead(clock.Now())
	l.mutex.Unlock()
	l.options.Logger.Info("list taken from the relay", zap.Int("servers", len(servers)), zap.Int64("offset", next))
	l.options.OnChange()
}

// replaceServers takes the newest entry of every server.
func (l *List) replaceServers(records []store.Record) {
	servers := make([]directory.Server, 0, len(records))
	for _, record := range records {
		if server, ok := l.decode(record); ok {
			servers = append(servers, server)
		}
	}
	l.options.Directory.Replace(servers)
	l.options.Logger.Info("list of servers read", zap.Int("servers", len(servers)))
	l.mutex.Lock()
	l.hasFullList, l.hasVersions = true, true
	l.mutex.Unlock()
	l.options.OnChange()
}

// applyEntries applies entries in the order in which they were written.
func (l *List) applyEntries(records []store.Record) {
	var changes []directory.Change
	for _, record := range records {
		if len(record.Value) == 0 {
			changes = append(changes, directory.Change{ID: record.Key})
			continue
		}
		if l.options.Directory.HasDigest(record.Key, l.options.Digest(record.Value)) && !containsServer(changes, record.Key) {
			continue
		}
		change := directory.Change{ID: record.Key}
		if server, ok := l.decode(record); ok {
			change.Server = &server
		}
		changes = append(changes, change)
	}
	if effective := l.options.Directory.Apply(changes); len(effective) > 0 {
		level := zap.InfoLevel
		if l.LargeFleet() && !l.options.Leading() {
			// The coordinator logs each change; the same lines from a thousand other nodes add no information.
			level = zap.DebugLevel
		}
		l.logChanges(level, effective)
		l.options.OnChange()
	}
}

// containsServer reports whether a server is among changes that were not applied yet.
func containsServer(changes []directory.Change, id string) bool {
	for _, change := range changes {
		if change.ID == id {
			return true
		}
	}
	return false
}

// decode decodes the entry of a server; ok is false if the entry is empty or invalid.
func (l *List) decode(record store.Record) (directory.Server, bool) {
	if len(record.Value) == 0 {
		return directory.Server{}, false
	}
	server, err := l.options.Decode(record)
	if err != nil {
		l.invalid.note(record.Key, err)
		return directory.Server{}, false
	}
	server.Digest = l.options.Digest(record.Value)
	return server, true
}

// recordHeartbeatRead records a read of the heartbeats; a list that was not read to the end does not become
// more recent.
func (l *List) recordHeartbeatRead(next int64, end bool) {
	l.mutex.Lock()
	l.nextOffset = next
	l.complete = l.complete || end
	l.mutex.Unlock()
	if end {
		l.options.Directory.MarkRead(clock.Now())
	}
}

// maxChangeLogLines bounds the lines that one read of the list may log.
const maxChangeLogLines = 8

// logChanges logs changes, except those of weight versions, which the coordinator logs.
func (l *List) logChanges(level zapcore.Level, changes []directory.Change) {
	if !l.options.Logger.Core().Enabled(level) {
		return
	}
	lines := 0
	for _, change := range changes {
		if change.Server != nil && change.Before != nil && directory.EqualIgnoringVersions(change.Before, change.Server) {
			continue
		}
		lines++
		if lines > maxChangeLogLines {
			l.options.Logger.Log(level, "more servers changed", zap.Int("servers", len(changes)))
			return
		}
		if change.Server == nil {
			l.options.Logger.Log(level, "server gone", zap.String("server", change.ID))
			continue
		}
		l.options.Logger.Log(level, "server changed", zap.String("server", change.ID), zap.String("service", change.Server.Service),
			zap.String("address", change.Server.Address), zap.Bool("draining", change.Server.Draining),
			zap.Duration("warming", max(clock.Until(change.Server.WarmAt), 0)))
	}
}
