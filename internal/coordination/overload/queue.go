package overload

import (
	"cmp"
	"slices"
	"time"
)

// maxQueueLength bounds the requests that wait at an instance.
const maxQueueLength = 256

// waiter is a waiting request.
type waiter struct {
	work    Work
	account *account
	// granted is closed when the request is admitted; shed is closed when another
	// request displaces it from the queue.
	granted chan struct{}
	shed    chan struct{}
}

// latestStart returns the time after which the answer is expected to miss its
// deadline.
func (w *Work) latestStart() time.Time { return w.Deadline.Add(-w.Expected) }

// queue holds the waiting requests. It is not safe for concurrent use.
type queue struct {
	waiting []*waiter
}

// push adds a request. If the queue is full, it sheds and returns the last
// request in order, which may be w.
func (q *queue) push(w *waiter) (shed *waiter) {
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= maxQueueLength {
		return nil
	}
	shed = slices.MaxFunc(q.waiting, compare)
	q.remove(shed)
	return shed
}

// pop removes and returns the first request in order, or nil if there is none.
func (q *queue) pop() *waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	next := slices.MinFunc(q.waiting, compare)
	q.remove(next)
	return next
}

// remove removes the request and reports whether it was waiting.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// compare orders by priority of the kind, then by the client account's use of
// its weight, then by latest start. Capacity is thus shared by weight among
// accounts that need it, and unused shares are lent.
func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		cmp.Compare(a.weightedUse(), b.weightedUse()),
		a.work.latestStart().Compare(b.work.latestStart()),
	)
}

// weightedUse returns the running requests of the account per unit of its
// weight.
func (w *waiter) weightedUse() float64 {
	return float64(w.account.running.Load()) / float64(max(w.work.Weight, 1))
}
