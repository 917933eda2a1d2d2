package clientmemory

import (
	"errors"
	"sync"
)

// ErrEnded means that a request has ended, and no longer holds memory.
var ErrEnded = errors.New("the request has ended")

// reserveDivisor is the divisor of the part of each limit that running requests leave to others. They are not
// evicted, so that without this part neither a new connection nor a small request might fit.
const reserveDivisor = 8

// Request accounts for what a running request holds besides RequestBytes and its own body: answers of servers as
// they arrive, and copies of its body. RequestBytes covers the first FirstResponseBytes of it. It is safe for
// concurrent use. A nil Request has no limit.
type Request struct {
	holding *Holding
	mu      sync.Mutex
	// held is what the request holds, and counted the part of it that the holding accounts for, except for
	// pending, which a call of Grow is about to add to the holding.
	held, counted, pending int64
	ended                  bool
}

// NewRequest returns the account of a request that begins to run; nil for a nil Holding.
func (h *Holding) NewRequest() *Request {
	if h == nil {
		return nil
	}
	return &Request{holding: h}
}

// uncovered returns the part of n bytes that RequestBytes does not cover.
func uncovered(n int64) int64 { return max(n-FirstResponseBytes, 0) }

// Grow accounts for n more bytes. It evicts others as Holding.Grow does. After an error, nothing has changed.
func (r *Request) Grow(n int64) error {
	if r == nil {
		return nil
	}
	more, err := r.change(n)
	if err != nil || more == 0 {
		return err
	}
	// A negative change needs no place.
	if more < 0 {
		r.holding.Shrink(-more)
		return nil
	}
	err = r.holding.growRunning(more)
	if ended := r.settle(n, more, err); ended && err == nil {
		r.holding.Shrink(more)
		return ErrEnded
	}
	return err
}

// change adds n to what is held, and returns by how much the account of the holding has to change.
func (r *Request) change(n int64) (more int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0, ErrEnded
	}
	r.held = max(r.held+n, 0)
	more = uncovered(r.held) - r.counted
	r.counted += more
	r.pending += max(more, 0)
	return more, nil
}

// settle ends a change that the holding has accepted or refused. It reports whether the request has ended meanwhile.
func (r *Request) settle(n, more int64, err error) (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending -= more
	if err != nil {
		r.held -= n
		r.counted -= more
	}
	return r.ended
}

// Shrink releases n bytes.
func (r *Request) Shrink(n int64) {
	if r == nil {
		return
	}
	if less, err := r.change(-n); err == nil {
		r.holding.Shrink(-less)
	}
}

// End ends the account of a request whose response has n bytes and is to be written. From then on, the connection
// holds the response instead, if it is larger than what RequestBytes covers.
func (r *Request) End(n int64) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	counted := r.counted - r.pending
	r.ended = true
	r.mu.Unlock()
	if n <= FirstResponseBytes {
		n = 0
	}
	if n > counted {
		return r.holding.Grow(n - counted)
	}
	r.holding.Shrink(counted - n)
	return nil
}
