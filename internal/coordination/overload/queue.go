package overload

import (
	"cmp"
	"slices"
	"time"
)

// maxQueueLength bounds the requests that wait at one instance.
const maxQueueLength = 256

// waiter is one request that waits.
type waiter struct {
	work    Work
	account *account
	// granted is closed by a grant; shed is closed where another takes its
	// place in the queue.
	granted chan struct{}
	shed    chan struct{}
}

// latestStart is the moment after which the answer is expected to be late.
func (w *Work) latestStart() time.Time { return w.Deadline.Add(-w.Expected) }

// queue holds the waiting requests. It is not safe for concurrent use.
type queue struct {
	waiting []*waiter
}

// push adds a request. Where the queue is full the last in order is shed,
// which may be the new one.
func (q *queue) push(w *waiter) (shed *waiter) {
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= maxQueueLength {
		return nil
	}
	shed = slices.MaxFunc(q.waiting, compare)
	q.remove(shed)
	return shed
}

// pop takes out the request that goes next, or returns nil.
func (q *queue) pop() *waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	next := slices.MinFunc(q.waiting, compare)
	q.remove(next)
	return next
}

// remove reports whether the request was waiting.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// compare orders by priority of the kind, then by how much of its weight the
// client account uses, so that capacity is shared by weight while all want it
// and lent while some do not, then by the latest start.
func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.work.Priority, b.work.Priority),
		cmp.Compare(a.weightedUse(), b.weightedUse()),
		a.work.latestStart().Compare(b.work.latestStart()),
	)
}

// weightedUse returns the running requests of the account per unit of its weight.
func (w *waiter) weightedUse() float64 {
	return float64(w.account.running.Load()) / float64(max(w.work.Weight, 1))
}
