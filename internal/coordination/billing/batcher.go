package billing

import (
	"context"
	"sync"
	"time"

	"medlarslip/internal/protocol/records"
)

const (
	// maxCopiesInFlight bounds the copies under way at one time. Bills that come
	// while all are under way travel together in the next.
	maxCopiesInFlight = 16
	// durabilityTimeout bounds how long an answer waits for its bill.
	durabilityTimeout = 2 * time.Second
	// maxBillsPerCopy bounds the bills of one copy.
	maxBillsPerCopy = 200
)

// copyBatcher copies the bills of many requests together. It is safe for
// concurrent use.
type copyBatcher struct {
	copier Copier

	mu      sync.Mutex
	bills   []records.Bill
	waiters []chan error
	running int
}

func newCopyBatcher(copier Copier) *copyBatcher { return &copyBatcher{copier: copier} }

func (g *copyBatcher) copy(ctx context.Context, bill records.Bill) error {
	done := make(chan error, 1)
	g.mu.Lock()
	g.bills = append(g.bills, bill)
	g.waiters = append(g.waiters, done)
	if g.running < maxCopiesInFlight {
		g.running++
		go g.run()
	}
	g.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *copyBatcher) run() {
	for {
		bills, waiters := g.take()
		if len(bills) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), durabilityTimeout/2)
		err := g.copier.Copy(ctx, bills)
		cancel()
		for _, waiter := range waiters {
			waiter <- err
		}
	}
}

func (g *copyBatcher) take() ([]records.Bill, []chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := min(len(g.bills), maxBillsPerCopy)
	if count == 0 {
		g.running--
		return nil, nil
	}
	bills, waiters := g.bills[:count:count], g.waiters[:count:count]
	g.bills, g.waiters = g.bills[count:], g.waiters[count:]
	return bills, waiters
}
