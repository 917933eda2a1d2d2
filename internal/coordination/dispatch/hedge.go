package dispatch

import (
	"context"
	"errors"
	"time"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
)

const (
	// servicePriority is the priority of calls of plain services: they are short,
	// and other work waits for their outcome.
	servicePriority = 0
	// hedgeFactor is the multiple of a server's usual latency after which a read
	// is also sent to a second server.
	hedgeFactor = 3
	// shortestHedge is the lower bound of that delay, and the delay while the
	// usual latency is unknown.
	shortestHedge = 50 * time.Millisecond
)

// hedgeReply is the result of one of the calls of a hedged read.
type hedgeReply struct {
	answer *records.KeptAnswer
	err    error
}

// hedgedRead sends a read to one server, and to others if it fails or takes far
// longer than usual (Dean and Barroso, The Tail at Scale, 2013). The first
// response is returned and cancels the other calls. Further calls are charged to
// the retry budget.
func (r *Router) hedgedRead(ctx context.Context, u *run, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan hedgeReply, maxAttempts)
	var exclude []string
	lastErr := attempt.ErrNoServer
	pending := 0
	var hedge <-chan time.Time
	for n := 0; ; {
		if n < maxAttempts && r.mayTry(call.Service.Name, n) {
			if server := r.acquire(ctx, u, call.Service.Name, exclude); server != nil {
				exclude = append(exclude, server.id)
				hedge = time.After(max(hedgeFactor*server.latency, shortestHedge))
				pending++
				go r.read(ctx, call, server, replies)
			}
			n++
		}
		if pending == 0 {
			return nil, serviceRefusal(caller, call, lastErr)
		}
		select {
		case reply := <-replies:
			pending--
			u.recordResult(resultOf(reply.err))
			u.mayHaveRun = u.mayHaveRun || pending > 0 || !errors.Is(reply.err, attempt.ErrNotSent)
			if reply.err == nil {
				return reply.answer, nil
			}
			lastErr = reply.err
			if caller.Err() != nil || errors.Is(lastErr, attempt.ErrMemory) {
				return nil, serviceRefusal(caller, call, lastErr)
			}
		case <-hedge:
			hedge = nil
		}
	}
}

// read makes one call of a hedged read.
func (r *Router) read(ctx context.Context, call *PlainCall, server *serverCall, replies chan<- hedgeReply) {
	answer, err := r.Services.Do(ctx, newServiceCall(call, server.address))
	r.settle(server, callResult(ctx, err))
	replies <- hedgeReply{answer: answer, err: err}
}
