package admission

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxWaiting is the number of requests that may wait at an instance.
	MaxWaiting = 512
	// MaxBytes is the size of their bodies together in bytes: a small part of the memory of
	// the smallest machine, 144 MB.
	MaxBytes = 8 << 20
	// recheckInterval is the time after which waiting requests look for capacity without
	// an event: estimates of loads also change as reports age.
	recheckInterval = 50 * time.Millisecond
)

// Entry describes a request that waits for capacity.
type Entry struct {
	Service string
	// Rank is the rank of the request; lower ranks come first.
	Rank int
	// LateAt is when the request may fill all slots, like those of the highest rank.
	LateAt time.Time
	// Excess is true for a request above the share of its account; such requests come after
	// all others.
	Excess bool
	// Due is when the objective of the request ends; earlier ones come first.
	Due time.Time
	// Group names the servers that the request may use. Where one request finds no capacity,
	// others of the same group and of no higher rank need not look.
	Group string
	// Bytes is the size of the body that is held.
	Bytes int64
	// Wake is called when the request may look for capacity. It must not block.
	Wake func()
}

// Ticket is the place of a waiting request in the queue.
type Ticket struct {
	entry Entry
	queue *serviceQueue
	seq   uint64
	// left is true once the request no longer waits.
	left bool
}

// Queue holds the waiting requests of an instance, one queue for each service. It is safe for
// concurrent use.
//
// The zero value is an empty queue.
type Queue struct {
	// After calls a function once after a time; nil means time.AfterFunc.
	After func(time.Duration, func())
	// Now is the clock; nil means time.Now.
	Now      func() time.Time
	services sync.Map // service name to *serviceQueue
	waiting  atomic.Int64
	bytes    atomic.Int64
}

func (q *Queue) now() time.Time {
	if q.Now != nil {
		return q.Now()
	}
	return time.Now()
}

func (q *Queue) schedule(after time.Duration, call func()) {
	if q.After != nil {
		q.After(after, call)
		return
	}
	time.AfterFunc(after, call)
}

// serviceQueue holds the waiting requests of a service. They look for capacity one at a time, in
// order, so that the first in order gets the capacity that becomes free.
type serviceQueue struct {
	queue  *Queue
	length atomic.Int64

	mu      sync.Mutex
	seq     uint64
	waiting []*Ticket
	// turn is the request that looks for capacity now; nil if none does.
	turn *Ticket
	// again is true if capacity may have become free since the present pass began.
	again bool
	// passed holds the requests that found no capacity in the present pass, and failed the
	// highest rank that found none, by group.
	passed map[*Ticket]struct{}
	failed map[string]int
	// rechecks is true while a recheck is scheduled.
	rechecks bool
}

func (q *Queue) serviceQueue(service string) *serviceQueue {
	if found, ok := q.services.Load(service); ok {
		return found.(*serviceQueue)
	}
	found, _ := q.services.LoadOrStore(service, &serviceQueue{queue: q, passed: map[*Ticket]struct{}{}, failed: map[string]int{}})
	return found.(*serviceQueue)
}

// Len returns the number of waiting requests of a service.
func (q *Queue) Len(service string) int {
	if found, ok := q.services.Load(service); ok {
		return int(found.(*serviceQueue).length.Load())
	}
	return 0
}

// Held returns the number of waiting requests and the bytes of their bodies.
func (q *Queue) Held() (requests, bytes int64) { return q.waiting.Load(), q.bytes.Load() }

// Ahead reports whether a waiting request of the service comes before the entry, so that
// the entry must join the queue before it looks for capacity.
func (q *Queue) Ahead(entry *Entry) bool {
	found, ok := q.services.Load(entry.Service)
	if !ok || found.(*serviceQueue).length.Load() == 0 {
		return false
	}
	l := found.(*serviceQueue)
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.waiting, func(t *Ticket) bool {
		return t.entry.Group == entry.Group && compareEntries(&t.entry, entry) < 0
	})
}

// Join adds a request and returns its ticket, or nil if the queue is at its bound. The caller
// must call Leave. It does not have the turn yet.
func (q *Queue) Join(entry *Entry) *Ticket {
	if q.waiting.Add(1) > MaxWaiting {
		q.waiting.Add(-1)
		return nil
	}
	if q.bytes.Add(entry.Bytes) > MaxBytes {
		q.bytes.Add(-entry.Bytes)
		q.waiting.Add(-1)
		return nil
	}
	l := q.serviceQueue(entry.Service)
	ticket := &Ticket{entry: *entry, queue: l}
	l.mu.Lock()
	l.seq++
	ticket.seq = l.seq
	at, _ := slices.BinarySearchFunc(l.waiting, ticket, compareTickets)
	l.waiting = slices.Insert(l.waiting, at, ticket)
	l.length.Add(1)
	schedule := !l.rechecks
	l.rechecks = true
	l.mu.Unlock()
	if schedule {
		q.schedule(recheckInterval, l.recheck)
	}
	return ticket
}

// Notify lets the waiting requests of a service look for capacity, because a request has
// ended or a server has sent a report.
func (q *Queue) Notify(service string) {
	if found, ok := q.services.Load(service); ok {
		found.(*serviceQueue).notify()
	}
}

// WakeAll wakes all waiting requests, for an end of the process. They need not have the turn.
func (q *Queue) WakeAll() {
	var all []*Ticket
	q.services.Range(func(_, found any) bool {
		l := found.(*serviceQueue)
		l.mu.Lock()
		all = append(all, l.waiting...)
		l.mu.Unlock()
		return true
	})
	for _, t := range all {
		t.wake()
	}
}

func (l *serviceQueue) notify() {
	if l.length.Load() == 0 {
		return
	}
	l.mu.Lock()
	var next *Ticket
	if l.turn == nil {
		l.beginPass()
		next = l.nextTurn()
	} else {
		l.again = true
	}
	l.mu.Unlock()
	next.wake()
}

func (l *serviceQueue) recheck() {
	l.notify()
	l.mu.Lock()
	l.rechecks = len(l.waiting) > 0
	again := l.rechecks
	l.mu.Unlock()
	if again {
		l.queue.schedule(recheckInterval, l.recheck)
	}
}

// Pass gives up the turn of a request that found no capacity. shared is true if no other
// request of its group and of no higher rank can find any either.
func (t *Ticket) Pass(shared bool) {
	l := t.queue
	l.mu.Lock()
	if l.turn != t {
		l.mu.Unlock()
		return
	}
	l.passed[t] = struct{}{}
	if shared {
		limit := t.limit(l.queue.now())
		if failedAt, failed := l.failed[t.entry.Group]; !failed || limit < failedAt {
			l.failed[t.entry.Group] = limit
		}
	}
	next := l.endTurn()
	l.mu.Unlock()
	next.wake()
}

// Leave removes the request from the queue: it found capacity, is sent without, or ends. The
// next request may look for capacity.
func (t *Ticket) Leave() {
	l := t.queue
	l.mu.Lock()
	if t.left {
		l.mu.Unlock()
		return
	}
	t.left = true
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Ticket) bool { return other == t })
	delete(l.passed, t)
	l.length.Add(-1)
	var next *Ticket
	if l.turn == t {
		next = l.endTurn()
	}
	l.mu.Unlock()
	l.queue.waiting.Add(-1)
	l.queue.bytes.Add(-t.entry.Bytes)
	next.wake()
}

// limit returns the rank whose room the request may fill.
func (t *Ticket) limit(now time.Time) int {
	if !now.Before(t.entry.LateAt) {
		return 0
	}
	return t.entry.Rank
}

func (t *Ticket) wake() {
	if t != nil {
		t.entry.Wake()
	}
}

// beginPass lets all requests look for capacity again.
func (l *serviceQueue) beginPass() {
	l.again = false
	clear(l.passed)
	clear(l.failed)
}

// endTurn ends the present turn and returns the next request, or nil.
func (l *serviceQueue) endTurn() *Ticket {
	l.turn = nil
	next := l.nextTurn()
	if next == nil && l.again {
		l.beginPass()
		next = l.nextTurn()
	}
	return next
}

// nextTurn gives the turn to the first request that has not looked in this pass and may find
// capacity.
func (l *serviceQueue) nextTurn() *Ticket {
	now := l.queue.now()
	for _, t := range l.waiting {
		if _, passed := l.passed[t]; passed {
			continue
		}
		if failedAt, failed := l.failed[t.entry.Group]; failed && t.limit(now) >= failedAt {
			continue
		}
		l.turn = t
		return t
	}
	return nil
}

func compareEntries(a, b *Entry) int {
	if a.Excess != b.Excess {
		if a.Excess {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Due.Compare(b.Due))
}

func compareTickets(a, b *Ticket) int {
	return cmp.Or(compareEntries(&a.entry, &b.entry), cmp.Compare(a.seq, b.seq))
}
