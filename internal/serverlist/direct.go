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

// learnSize reads the list as far as a page may reach. In a small fleet that is all of it; in a large one
// the rest is not read: that each of 1,000 nodes reads 10,000 entries is more than a store carries.
func (l *List) learnSize(ctx context.Context) {
	records, end, more, err := l.readBeginning(ctx)
	if err != nil {
		l.options.Logger.Warn("size of the fleet not learned", zap.Error(err))
		pause.For(ctx, l.spread(sizeRetry))
		return
	}
	if !more {
		l.replace(records)
		l.noteRead(end, true)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sized, l.crowded = true, more
}

// readBeginning reads the newest entries of the first servers, of crowdedFrom at the least; more says
// that others follow.
func (l *List) readBeginning(ctx context.Context) (records []store.Record, end int64, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, sizeTimeout)
	defer cancel()
	for after := ""; ; {
		page, err := store.ReadNewestPage(ctx, l.options.Log, store.TopicServers, after)
		if err != nil {
			return nil, 0, false, err
		}
		if len(records) == 0 {
			// What changes after the first page is read from its end.
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 || len(records) >= crowdedFrom {
			return records, end, page.More && len(page.Records) > 0, nil
		}
		after = records[len(records)-1].Key
	}
}

// runDirect reads the heartbeats while this node is to, and has the directory follow the
// relay while it is not.
func (l *List) runDirect(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		switch {
		case l.options.Leading():
			l.followHeartbeats(ctx)
		case l.wantsSize(now):
			l.learnSize(ctx)
		case l.wantsDirect(now):
			l.followHeartbeats(ctx)
		case l.adoptable(now):
			l.adoptRelay()
		}
		l.awaitCheck(ctx)
	}
}

// awaitCheck waits until it is time to look again, a short time before the relay was
// read for the first time.
func (l *List) awaitCheck(ctx context.Context) {
	l.mutex.Lock()
	known := l.relayRead
	l.mutex.Unlock()
	if known {
		pause.For(ctx, checkInterval)
		return
	}
	pause.For(ctx, checkInterval/20)
}

// followHeartbeats reads the heartbeats until the relay takes over, or until this node
// needs the weight versions that it did not read.
func (l *List) followHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leading := l.options.Leading()
	from, known, versions := l.beginDirect(leading)
	mostBytes := 0
	if l.isUnsure(leading) {
		mostBytes = unsureBytes
	}
	l.options.Logger.Info("list read from heartbeats", zap.Bool("leading", leading), zap.Bool("known", known), zap.Int64("offset", from))
	var watch conc.WaitGroup
	watch.Go(func() { l.endWhenRelayed(ctx, cancel, versions) })
	follow.Keyed(ctx, follow.KeyedOptions{
		Log: l.options.Log, Topic: store.TopicServers, MinInterval: l.options.Pace, Wait: l.options.Wait, Logger: l.options.Logger,
		Replace: l.replace, Change: l.change, From: from, FromKnown: known, MaxBytes: mostBytes,
		OnRead: func(next int64, end bool, _ time.Time) {
			l.noteRead(next, end)
			if l.isUnsure(leading) && l.leaveCrowd() {
				cancel()
			}
		},
	})
	cancel()
	watch.Wait()
}

// isUnsure says whether this node reads the heartbeats without knowing whether it is to: the servers
// may be about to start, as it is.
func (l *List) isUnsure(leading bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !leading && !l.relayedLocked() && !l.unrelayedLocked(clock.Now())
}

// leaveCrowd ends the reading of heartbeats where more servers have come than fit a page, and returns
// whether it did: the list is taken from the relay then.
func (l *List) leaveCrowd() bool {
	count := l.options.Directory.Snapshot().Count()
	if count < crowdedFrom {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.crowded, l.direct, l.based, l.complete = true, false, false, false
	l.options.Logger.Info("list too long to be read by each node", zap.Int("servers", count))
	return true
}

// beginDirect returns the offset from which the heartbeats are to be read, where what
// was before is known: from earlier reads, or from what the relay told last. A node
// that coordinates begins with the newest entries, which have weight versions; versions
// says whether the list will have them.
func (l *List) beginDirect(leading bool) (from int64, known, versions bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.direct = true
	if !l.based && l.relayedLocked() {
		l.based, l.next = true, l.relay.next
		l.options.Directory.Replace(l.relay.list())
	}
	known = l.based && (l.versions || !leading)
	return l.next, known, l.versions || !known
}

// endWhenRelayed ends the reading of heartbeats once the relay is to be gone by, or once
// this node coordinates and the reading does not bring weight versions.
func (l *List) endWhenRelayed(ctx context.Context, end context.CancelFunc, versions bool) {
	for pause.For(ctx, l.checkPause()) {
		leading := l.options.Leading()
		if l.wantsDirect(clock.Now()) && (versions || !leading) {
			continue
		}
		end()
		return
	}
}

// adoptRelay makes the directory what the relay says.
func (l *List) adoptRelay() {
	l.mutex.Lock()
	l.direct, l.versions, l.based, l.complete = false, false, true, true
	l.next = l.relay.next
	next, servers := l.next, l.relay.list()
	l.options.Directory.Replace(servers)
	l.options.Directory.NoteRead(clock.Now())
	l.mutex.Unlock()
	l.options.Logger.Info("list taken from the relay", zap.Int("servers", len(servers)), zap.Int64("offset", next))
	l.options.Changed()
}

// replace takes the newest entry of every server.
func (l *List) replace(records []store.Record) {
	servers := make([]directory.Server, 0, len(records))
	for _, record := range records {
		if server, ok := l.decode(record); ok {
			servers = append(servers, server)
		}
	}
	l.options.Directory.Replace(servers)
	l.options.Logger.Info("list of servers read", zap.Int("servers", len(servers)))
	l.mutex.Lock()
	l.based, l.versions = true, true
	l.mutex.Unlock()
	l.options.Changed()
}

// change takes entries in the order in which they were written.
func (l *List) change(records []store.Record) {
	var changes []directory.Change
	for _, record := range records {
		if len(record.Value) == 0 {
			changes = append(changes, directory.Change{ID: record.Key})
			continue
		}
		if l.options.Directory.Holds(record.Key, l.options.Digest(record.Value)) && !mentioned(changes, record.Key) {
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
		if l.Large() && !l.options.Leading() {
			// The coordinator logs each change; a thousand nodes that read the same tell no more.
			level = zap.DebugLevel
		}
		l.log(level, effective)
		l.options.Changed()
	}
}

// mentioned says whether a server is among changes that were not applied yet.
func mentioned(changes []directory.Change, id string) bool {
	for _, change := range changes {
		if change.ID == id {
			return true
		}
	}
	return false
}

// voidInterval is the time between two log lines about entries that are no server's: who writes
// such entries may do so all the time.
const voidInterval = time.Second

func (l *List) logVoid(key string, err error) {
	now := clock.Now()
	if now.Sub(l.voidLoggedAt) < voidInterval {
		return
	}
	l.voidLoggedAt = now
	l.options.Logger.Error("server entry void", zap.String("server", key), zap.Error(err))
}

// decode reads the entry of a server; ok is false for one that names none to use.
func (l *List) decode(record store.Record) (directory.Server, bool) {
	if len(record.Value) == 0 {
		return directory.Server{}, false
	}
	server, err := l.options.Decode(record)
	if err != nil {
		l.logVoid(record.Key, err)
		return directory.Server{}, false
	}
	server.Digest = l.options.Digest(record.Value)
	return server, true
}

// noteRead notes a read of the heartbeats; a list that was not read to the end is as
// old as before.
func (l *List) noteRead(next int64, end bool) {
	l.mutex.Lock()
	l.next = next
	l.complete = l.complete || end
	l.mutex.Unlock()
	if end {
		l.options.Directory.NoteRead(clock.Now())
	}
}

// linesOfChange bounds the lines that one read of the list may log.
const linesOfChange = 8

// log tells what changed, but for weight versions, which the coordinator tells.
func (l *List) log(level zapcore.Level, changes []directory.Change) {
	if !l.options.Logger.Core().Enabled(level) {
		return
	}
	lines := 0
	for _, change := range changes {
		if change.Server != nil && change.Before != nil && directory.SameIgnoringVersions(change.Before, change.Server) {
			continue
		}
		lines++
		if lines > linesOfChange {
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
