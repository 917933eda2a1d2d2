// Package overload decides which requests an instance takes on when there are
// more than it can carry: limits and fair shares per client account, bounded
// queues that know the deadlines, and early refusals.
package overload

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/protocol/refusal"
)

// Work is one request that asks to be taken on.
type Work struct {
	Account string
	// Weight is the share of the client account when capacity is short.
	Weight int
	// Limit bounds the requests of the client account at this instance.
	Limit int
	// Priority is that of the kind; a lower number goes first.
	Priority int
	Deadline time.Time
	// Expected is the time that the answer takes once begun; 0 while unknown.
	Expected time.Duration
}

const (
	// accountRetryAfter is the wait that a client account at its limit is told.
	accountRetryAfter = time.Second
	// minRetryAfter and longestRetry bound the wait that callers are told
	// when the instance is full.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialHoldTime is the time a request is taken to hold its place before one
	// was measured.
	initialHoldTime = time.Second
	// holdTimeDivisor is one over the weight of a new value in the moving mean.
	holdTimeDivisor = 16
)

// Counters of this package.
var (
	waitingCount = expvar.NewInt("overload_waiting")
	refusedCount = expvar.NewMap("overload_refusals")
)

// account is the state of one client account at this instance.
type account struct {
	// admitted counts requests that wait or run, running those that run.
	admitted atomic.Int64
	running  atomic.Int64
}

// Gate takes requests on. It is safe for concurrent use; while no request
// waits it takes no lock.
type Gate struct {
	now      func() time.Time
	limit    *limit
	inFlight atomic.Int64
	holdTime atomic.Int64 // moving mean of the time a request holds, ns
	accounts sync.Map     // name to *account

	// queueLength is the length of the queue, read without the lock.
	queueLength atomic.Int64
	mu          sync.Mutex
	queue       queue
}

// NewGate returns an empty gate.
func NewGate(now func() time.Time) *Gate {
	g := &Gate{now: now, limit: newLimit()}
	g.holdTime.Store(int64(initialHoldTime))
	return g
}

// Result says what the end of a request tells about the load.
type Result int

const (
	// ResultOK means that the load is borne.
	ResultOK Result = iota
	// ResultOverloaded means that servers were full or the answer late.
	ResultOverloaded
)

// Ticket is the place of a request that was taken on.
type Ticket struct {
	gate    *Gate
	account *account
	started time.Time
}

// Admit takes a request on, where needed after a wait. A request that can't be
// taken on in time is refused at once, with the time to come back.
func (g *Gate) Admit(ctx context.Context, work Work) (*Ticket, *refusal.Refusal) {
	a := g.accountOf(work.Account)
	if a.admitted.Add(1) > int64(work.Limit) {
		a.admitted.Add(-1)
		return nil, refuse("account_limit", "client account "+work.Account+" has its limit of requests in progress", "wait for one to end, or ask the operators for a higher max_in_flight", accountRetryAfter)
	}
	if g.queueLength.Load() == 0 && g.acquire() {
		return g.ticket(a), nil
	}
	if refused := g.wait(ctx, a, work); refused != nil {
		a.admitted.Add(-1)
		return nil, refused
	}
	return g.ticket(a), nil
}

func (g *Gate) accountOf(name string) *account {
	if a, ok := g.accounts.Load(name); ok {
		return a.(*account)
	}
	a, _ := g.accounts.LoadOrStore(name, &account{})
	return a.(*account)
}

func (g *Gate) ticket(a *account) *Ticket {
	a.running.Add(1)
	return &Ticket{gate: g, account: a, started: g.now()}
}

// acquire counts one more request in flight if the limit allows it.
func (g *Gate) acquire() bool {
	for {
		inFlight := g.inFlight.Load()
		if inFlight >= int64(g.limit.value()) {
			return false
		}
		if g.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return true
		}
	}
}

// wait queues until the request is granted its place.
func (g *Gate) wait(ctx context.Context, a *account, work Work) *refusal.Refusal {
	maxWait := work.latestStart().Sub(g.now())
	if maxWait <= 0 {
		return g.refuseFull("too_late")
	}
	w := &waiter{work: work, account: a, granted: make(chan struct{}), shed: make(chan struct{})}
	g.push(w)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-w.shed:
		return g.refuseFull("queue_full")
	case <-timer.C:
	case <-ctx.Done():
	}
	if g.dequeue(w) {
		return g.refuseFull("too_late")
	}
	select {
	case <-w.granted:
		return nil
	case <-w.shed:
		return g.refuseFull("queue_full")
	}
}

func (g *Gate) push(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queueLength.Add(1)
	if shed := g.queue.push(w); shed != nil {
		g.queueLength.Add(-1)
		close(shed.shed)
	}
	// A place may have become free since the fast path was tried.
	g.grantLocked()
	waitingCount.Set(g.queueLength.Load())
}

func (g *Gate) dequeue(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.remove(w) {
		return false
	}
	g.queueLength.Add(-1)
	return true
}

func (g *Gate) grantLocked() {
	for len(g.queue.waiting) > 0 && g.acquire() {
		g.queueLength.Add(-1)
		close(g.queue.pop().granted)
	}
}

// Release ends the request's hold on its place.
func (t *Ticket) Release(result Result) {
	g := t.gate
	now := g.now()
	if result == ResultOverloaded {
		g.limit.decrease(now)
	} else {
		g.limit.increase(g.inFlight.Load())
	}
	hold := g.holdTime.Load()
	g.holdTime.Store(hold + (int64(now.Sub(t.started))-hold)/holdTimeDivisor)
	t.account.running.Add(-1)
	t.account.admitted.Add(-1)
	g.inFlight.Add(-1)
	if g.queueLength.Load() > 0 {
		g.mu.Lock()
		g.grantLocked()
		g.mu.Unlock()
	}
}

// refuseFull tells callers to come back when those that wait now are served.
func (g *Gate) refuseFull(cause string) *refusal.Refusal {
	rounds := float64(g.queueLength.Load()+1) / g.limit.value()
	wait := time.Duration(rounds * float64(g.holdTime.Load()))
	return refuse(cause, "this instance has more work than it can answer in time", "ask again after the given wait, or use another entry", min(max(wait, minRetryAfter), maxRetryAfter))
}

func refuse(cause, message, remedy string, wait time.Duration) *refusal.Refusal {
	refusedCount.Add(cause, 1)
	return refusal.New(refusal.KindOverloaded, message, remedy).After(wait)
}
