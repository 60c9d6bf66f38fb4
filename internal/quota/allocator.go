package quota

import (
	"slices"
	"strings"
	"time"

	"dalehook/internal/cluster"
	"dalehook/internal/record"
)

const (
	// asksPerSecond is the number of asks that an allocator wants to get; with
	// more holders each renews less often.
	asksPerSecond   = 35
	shortestRenewal = time.Second
	longestRenewal  = 10 * time.Second
	// satisfiedShare is the part of its fair share with which a node is left alone.
	satisfiedShare = 0.8
	// rebalanceEvery is the time between two looks for nodes that have too little,
	// pushesPerSecond bounds the grants that nobody asked for, and mostPushes is
	// what a quiet time saves up of them.
	rebalanceEvery  = 250 * time.Millisecond
	pushesPerSecond = 5
	mostPushes      = 300
)

// account is what an allocator knows of one node.
type account struct {
	node     cluster.NodeID
	sequence uint64
	want     Amount
	// granted is the last share that the node was sent.
	granted Amount
	// counted is the most that the node may have in force, until expires.
	counted Amount
	expires time.Time
}

// push is a grant that nobody asked for.
type push struct {
	to    cluster.NodeID
	grant Grant
}

// allocator divides the limit of one class, from the time at which this node
// became its allocator. Until it has heard from every node, or leaseTime and
// listLag are over, shares of an earlier allocator may be in force that it does
// not know; it then gives out no more than what it was told of.
type allocator struct {
	limit Amount
	// visible is the part of the cluster that this node can see, from 0 to 1. Each
	// side of a cut gives out its own part of the limit only.
	visible float64
	// since is the start of the term and term its name.
	since time.Time
	term  uint64
	// missing holds the nodes that the survey has not reached, sorted.
	missing    []cluster.NodeID
	nextSurvey time.Time
	// known is the sum of what the nodes reported first.
	known Amount
	// accounts are sorted by node.
	accounts []*account

	nextRebalance time.Time
	// pushes is the number of pushes that may be sent now.
	pushes float64
}

func newAllocator(now time.Time, nodes []cluster.NodeID) *allocator {
	return &allocator{since: now, term: uint64(now.UnixMilli()), missing: nodes, nextRebalance: now, pushes: mostPushes}
}

// setLimit takes the class's limit and the part of the cluster that is visible.
func (a *allocator) setLimit(limit record.ClassLimit, visible float64) {
	a.visible = visible
	a.limit = limitOf(limit).times(visible)
}

// settled reports whether no unknown share of an earlier allocator is in force.
func (a *allocator) settled(now time.Time) bool {
	return len(a.missing) == 0 || !now.Before(a.since.Add(leaseTime+listLag))
}

func (a *allocator) capacity(now time.Time) Amount {
	if a.settled(now) {
		return a.limit
	}
	return a.limit.smaller(a.known)
}

// handle takes an Ask and returns the answer, or false when none is due.
func (a *allocator) handle(now time.Time, from cluster.NodeID, ask Ask) (Grant, bool) {
	a.forget(now)
	if ask.Term == a.term {
		a.missing = slices.DeleteFunc(a.missing, func(id cluster.NodeID) bool { return id == from })
	}
	account, isNew := a.account(from)
	if !isNew && ask.Sequence <= account.sequence {
		return Grant{}, false
	}
	if isNew {
		a.known = a.known.plus(ask.Held)
	}
	account.sequence = ask.Sequence
	account.want = ask.Want
	account.granted = Amount{}
	account.counted = ask.Held
	account.expires = now.Add(leaseTime)
	if ask.Want.isZero() {
		return Grant{}, false
	}
	return a.grant(now, account), true
}

// grant gives a node its fair part of the capacity, as far as the shares of the
// other nodes leave room for it.
func (a *allocator) grant(now time.Time, to *account) Grant {
	fair := a.fairShare(to, a.level(now))
	return a.send(to, fair.smaller(a.room(now, to)).roundDown())
}

// level returns the level of the max-min fair division of the capacity.
func (a *allocator) level(now time.Time) Amount {
	var rates, concurrents []float64
	for _, account := range a.accounts {
		rates = append(rates, account.want.Rate)
		concurrents = append(concurrents, account.want.Concurrent)
	}
	capacity := a.capacity(now)
	return Amount{Rate: fairLevel(capacity.Rate, rates), Concurrent: fairLevel(capacity.Concurrent, concurrents)}
}

func (a *allocator) fairShare(of *account, level Amount) Amount {
	return of.want.smaller(level).roundDown()
}

// room returns what the shares of the other nodes leave of the capacity.
func (a *allocator) room(now time.Time, of *account) Amount {
	room := a.capacity(now)
	for _, account := range a.accounts {
		if account != of {
			room = room.minus(account.counted)
		}
	}
	return room
}

// send notes a share as sent to a node, which may take it or what it had before.
func (a *allocator) send(to *account, share Amount) Grant {
	to.granted = share
	to.counted = to.counted.larger(share)
	return Grant{Sequence: to.sequence, Share: share, RenewMillis: uint32(a.renewal().Milliseconds())}
}

// renewal returns the time until a node asks again.
func (a *allocator) renewal() time.Duration {
	var holders time.Duration
	for _, account := range a.accounts {
		if !account.want.isZero() {
			holders++
		}
	}
	return min(longestRenewal, max(shortestRenewal, holders*time.Second/asksPerSecond))
}

// rebalance returns grants that nobody asked for: larger ones to nodes that have
// too little, as far as there is room, and then smaller ones to those that have
// more than their part. The latter ask at once, and so make room.
func (a *allocator) rebalance(now time.Time) []push {
	if now.Before(a.nextRebalance) {
		return nil
	}
	a.pushes = min(mostPushes, a.pushes+pushesPerSecond*now.Sub(a.nextRebalance.Add(-rebalanceEvery)).Seconds())
	a.nextRebalance = now.Add(rebalanceEvery)
	a.forget(now)
	level := a.level(now)
	pushes, isShort := a.raise(now, level)
	if isShort {
		pushes = append(pushes, a.lower(level)...)
	}
	return pushes
}

// raise gives more to nodes that have too little. It reports whether one still has.
func (a *allocator) raise(now time.Time, level Amount) (pushes []push, isShort bool) {
	for _, account := range a.accounts {
		fair := a.fairShare(account, level)
		if !fair.times(satisfiedShare).exceeds(account.granted) {
			continue
		}
		share := fair.smaller(a.room(now, account)).roundDown().larger(account.granted)
		if share.times(satisfiedShare).exceeds(account.granted) {
			pushes = a.push(pushes, account, share)
		}
		isShort = isShort || fair.times(satisfiedShare).exceeds(account.granted)
	}
	return pushes, isShort
}

// lower takes from nodes that have more than their part.
func (a *allocator) lower(level Amount) (pushes []push) {
	for _, account := range a.accounts {
		fair := a.fairShare(account, level)
		if account.granted.times(satisfiedShare).exceeds(fair) {
			pushes = a.push(pushes, account, account.granted.smaller(fair))
		}
	}
	return pushes
}

func (a *allocator) push(pushes []push, to *account, share Amount) []push {
	if a.pushes < 1 {
		return pushes
	}
	a.pushes--
	return append(pushes, push{to: to.node, grant: a.send(to, share)})
}

// account returns the account of a node, and whether it was not there before.
func (a *allocator) account(node cluster.NodeID) (*account, bool) {
	index, found := slices.BinarySearchFunc(a.accounts, node, func(known *account, id cluster.NodeID) int {
		return strings.Compare(string(known.node), string(id))
	})
	if !found {
		a.accounts = slices.Insert(a.accounts, index, &account{node: node})
	}
	return a.accounts[index], !found
}

// forget drops the accounts of nodes that were silent for a lease's time.
func (a *allocator) forget(now time.Time) {
	a.accounts = slices.DeleteFunc(a.accounts, func(known *account) bool { return !now.Before(known.expires) })
}
