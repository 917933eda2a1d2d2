// Package overload controls the admission of requests at an instance under
// overload: limits and fair shares per client account, bounded queues that
// respect deadlines, and early load shedding.
package overload

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/protocol/refusal"
)

// Work describes a request that asks for admission.
type Work struct {
	Account string
	// Weight is the weight of the client account in the fair sharing of scarce
	// capacity; a value below 1 counts as 1.
	Weight int
	// Limit is the concurrency limit of the client account at this instance,
	// including requests that wait.
	Limit int
	// Priority is the priority of the kind; lower numbers are admitted first.
	Priority int
	Deadline time.Time
	// Expected is the expected duration of the answer once started; 0 while
	// unknown.
	Expected time.Duration
}

const (
	// accountRetryAfter is the wait that a client account at its limit is asked
	// for.
	accountRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the wait that callers are asked for
	// when the instance is overloaded.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialHoldTime is the mean hold time of requests assumed before any was
	// measured.
	initialHoldTime = time.Second
	// holdTimeDivisor is the reciprocal of the weight of a new value in the
	// exponentially weighted mean of hold times.
	holdTimeDivisor = 16
)

// Metrics of this package.
var (
	waitingCount = expvar.NewInt("overload_waiting")
	refusedCount = expvar.NewMap("overload_refusals")
)

// account is the state of one client account at this instance.
type account struct {
	// inProgress counts requests that wait or run, running only those that run.
	inProgress atomic.Int64
	running    atomic.Int64
}

// Gate admits requests. It is safe for concurrent use; while no request waits
// it takes no lock.
type Gate struct {
	now      func() time.Time
	limit    *limit
	inFlight atomic.Int64
	holdTime atomic.Int64 // exponentially weighted mean of hold times, ns
	accounts sync.Map     // name to *account

	// queueLength is the length of the queue, for reads without the lock.
	queueLength atomic.Int64
	mu          sync.Mutex
	queue       queue
}

// NewGate returns a gate without requests.
func NewGate(now func() time.Time) *Gate {
	g := &Gate{now: now, limit: newLimit()}
	g.holdTime.Store(int64(initialHoldTime))
	return g
}

// Result is the outcome of a request with regard to overload.
type Result int

const (
	// ResultOK means that the request showed no sign of overload.
	ResultOK Result = iota
	// ResultOverloaded means that servers were full or the answer was late.
	ResultOverloaded
)

// Ticket represents an admitted request until it is released.
type Ticket struct {
	gate    *Gate
	account *account
	started time.Time
}

// Admit admits a request, after a wait if necessary. If it can't be admitted in
// time, Admit returns a refusal with the time after which to retry.
func (g *Gate) Admit(ctx context.Context, work Work) (*Ticket, *refusal.Refusal) {
	a := g.accountOf(work.Account)
	if a.inProgress.Add(1) > int64(work.Limit) {
		a.inProgress.Add(-1)
		return nil, refuse("account_limit", "client account "+work.Account+" has its limit of requests in progress", "wait for one to end, or ask the operators for a higher max_in_flight", accountRetryAfter)
	}
	if g.queueLength.Load() == 0 && g.acquire() {
		return g.ticket(a), nil
	}
	if refused := g.wait(ctx, a, work); refused != nil {
		a.inProgress.Add(-1)
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

// acquire adds a request in flight if the concurrency limit allows it.
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

// wait queues the request until it is granted or refused.
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
	// A request may have been released since the fast path failed.
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

// Release ends the request and adjusts the concurrency limit by its result.
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
	t.account.inProgress.Add(-1)
	g.inFlight.Add(-1)
	if g.queueLength.Load() > 0 {
		g.mu.Lock()
		g.grantLocked()
		g.mu.Unlock()
	}
}

// refuseFull returns a refusal with the expected time until the requests
// waiting now are served.
func (g *Gate) refuseFull(cause string) *refusal.Refusal {
	rounds := float64(g.queueLength.Load()+1) / g.limit.value()
	wait := time.Duration(rounds * float64(g.holdTime.Load()))
	return refuse(cause, "this instance has more work than it can answer in time", "ask again after the given wait, or use another entry", min(max(wait, minRetryAfter), maxRetryAfter))
}

func refuse(cause, message, remedy string, wait time.Duration) *refusal.Refusal {
	refusedCount.Add(cause, 1)
	return refusal.New(refusal.KindOverloaded, message, remedy).After(wait)
}
