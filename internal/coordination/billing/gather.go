package billing

import (
	"context"
	"sync"
	"time"

	"medlarslip/internal/protocol/records"
)

const (
	// maxCopies bounds the copies under way at one time. Bills that come
	// while all are under way travel together in the next.
	maxCopies = 16
	// surviveWait bounds how long an answer waits for its bill.
	surviveWait = 2 * time.Second
	// maxCopy bounds the bills of one copy.
	maxCopy = 200
)

// gatherer copies the bills of many requests together. It is safe for
// concurrent use.
type gatherer struct {
	copier Copier

	mu      sync.Mutex
	bills   []records.Bill
	waiters []chan error
	running int
}

func newGatherer(copier Copier) *gatherer { return &gatherer{copier: copier} }

func (g *gatherer) copy(ctx context.Context, bill records.Bill) error {
	done := make(chan error, 1)
	g.mu.Lock()
	g.bills = append(g.bills, bill)
	g.waiters = append(g.waiters, done)
	if g.running < maxCopies {
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

func (g *gatherer) run() {
	for {
		bills, waiters := g.take()
		if len(bills) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), surviveWait/2)
		err := g.copier.Copy(ctx, bills)
		cancel()
		for _, waiter := range waiters {
			waiter <- err
		}
	}
}

func (g *gatherer) take() ([]records.Bill, []chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := min(len(g.bills), maxCopy)
	if count == 0 {
		g.running--
		return nil, nil
	}
	bills, waiters := g.bills[:count:count], g.waiters[:count:count]
	g.bills, g.waiters = g.bills[count:], g.waiters[count:]
	return bills, waiters
}
