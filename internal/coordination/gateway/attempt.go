package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/backends"
)

// attempt is one request to a backend server.
type attempt struct {
	gateway  *Gateway
	req      *request
	choice   *selection
	model    string
	response RawResponse
	reply    Reply
	verdict  verdict
	began    time.Time
	// sentAt is a moment before the request was sent.
	sentAt  boottime.Instant
	cancel  context.CancelFunc
	settled bool
	ctx     context.Context
	// slow is true if the header of the response took far longer than the
	// moving mean.
	slow bool
	// compared holds the measurements that are reported for the version.
	compared comparison
	// timedOut is set when the watchdog cancels the attempt.
	timedOut atomic.Bool
	// firstEventAt is when the first event of a stream arrived; started is true once the
	// stream has gone on for startTime since.
	firstEventAt time.Time
	started      bool
	// times holds the times that the estimates are learned from, and resumed is true for a
	// run that continues a stream.
	times   runTimes
	resumed bool
}

func (a *attempt) server() string { return a.choice.snapshot.Server.ID }

func (a *attempt) version() string { return a.choice.snapshot.Server.Version }

// giveUp cancels an attempt whose server has sent nothing for too long.
func (a *attempt) giveUp() {
	a.timedOut.Store(true)
	a.cancel()
}

// attempt sends the request to a server and classifies the header of its
// response. It returns nil if no server is available. A version other than ""
// restricts the choice to its servers, as needed to resume a stream.
func (g *Gateway) attempt(ctx context.Context, req *request, version, lastEventID string) *attempt {
	a, raw := g.prepare(ctx, req, version, lastEventID)
	if a == nil {
		return nil
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	req.tried = append(req.tried, a.server())
	g.Metrics.Placed(req.service, a.choice.cause)
	limit := a.watch(g.headerTimeout(req, a.choice, a.began), version)
	endPrefill := g.beginPrefill(a.choice)
	a.sentAt = g.Limits.Now()
	var err error
	a.response, err = g.Upstream.Send(a.ctx, a.choice.snapshot.Server.Address, raw)
	endPrefill()
	limit.stop()
	a.judge(err)
	return a
}

// prepare chooses a server, unless one is reserved, and encodes the request to it. It
// returns nil if no server is available.
func (g *Gateway) prepare(ctx context.Context, req *request, version, lastEventID string) (*attempt, RawRequest) {
	for {
		choice := req.reserved
		req.reserved = nil
		if choice == nil {
			choice = g.choose(ctx, req, version)
		}
		if choice == nil {
			return nil, RawRequest{}
		}
		if g.tooLateFor(req) || g.Quarantine.BlockedMeanwhile(req.keys) != nil {
			choice.backend.Cancel()
			return nil, RawRequest{}
		}
		a := &attempt{gateway: g, req: req, choice: choice, model: req.plan.model(), began: time.Now(), resumed: lastEventID != ""}
		raw := a.encode(lastEventID)
		if !choice.permit.Expired(g.Limits.Now()) {
			return a, raw
		}
		// This process was suspended since the permit was granted.
		choice.backend.Cancel()
	}
}

// encode returns the request in wire format.
func (a *attempt) encode(lastEventID string) RawRequest {
	r := a.req
	header := a.gateway.Codec.EncodeAttempt(r.http.Header, Attempt{
		Remaining:   r.remaining(a.began),
		Server:      a.server(),
		Account:     r.accountName(),
		Priority:    r.sentPriority(),
		Model:       a.model,
		LastEventID: lastEventID,
	})
	var head bytes.Buffer
	head.WriteString(r.http.Method + " " + rawTarget(r.http) + " HTTP/1.1\r\nHost: " + r.http.Host + "\r\n")
	if r.body.size > 0 || r.http.Method == http.MethodPost || r.http.Method == http.MethodPut || r.http.Method == http.MethodPatch {
		header["Content-Length"] = []string{strconv.FormatInt(r.body.size, 10)}
	}
	// Writing to a buffer does not fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	// A permit is for one request, so it must not be written twice.
	repeatable := r.route.Repeatable() && a.choice.permit.Unlimited()
	return RawRequest{Method: r.http.Method, Head: head.Bytes(), Body: r.body.list, Repeatable: repeatable}
}

// judge classifies the attempt by the header of its response, or by err if
// there was none, and records the outcome.
func (a *attempt) judge(err error) {
	took := time.Since(a.began)
	if err != nil {
		a.recordFailure()
		a.verdict = judgeError(err)
		switch a.verdict {
		case unknown:
			a.gateway.observeBreak(a)
		case notRun:
			a.gateway.observeRefusal(a, err)
		}
	} else {
		a.gateway.Reachability.Received()
		a.reply = a.gateway.Codec.DecodeReply(a.response.Status(), a.response.Header())
		a.verdict = judgeReply(&a.reply, a.req.call.ID)
		a.recordRestart()
		a.recordLoad()
		a.recordAvailability()
		a.recordRateLimit()
		a.recordBrittle()
	}
	if a.verdict != notRun || err == nil {
		a.req.sent++
	}
	if a.verdict != notRun {
		a.req.mayHaveRun, a.req.weakDropped = true, false
	}
	a.gateway.Metrics.Attempted(a.req.service, a.verdict.String(), took)
	a.observe(took)
	if a.verdict != deliver {
		a.settle()
	}
	a.gateway.logAttempt(a, took, err)
}

// recordFailure records that the server has not answered, unless the client has left.
func (a *attempt) recordFailure() {
	if a.timedOut.Load() || a.ctx.Err() == nil {
		a.gateway.Reachability.Failed(a.choice.snapshot.Server.Address)
	}
}

func (a *attempt) recordLoad() {
	if a.reply.Load == nil {
		return
	}
	load := *a.reply.Load
	load.ReadAt = time.Now()
	a.observeReport()
	if a.verdict == notRun && a.reply.Status == http.StatusServiceUnavailable {
		a.gateway.recordRefusal(a.server())
	}
	a.choice.backend.SetLoad(load)
	a.gateway.capacityFreed(a.req.service, a.choice.backend)
}

// recordAvailability records that the server is draining or asks for a backoff.
func (a *attempt) recordAvailability() {
	if a.reply.Leaving {
		a.choice.backend.MarkDraining()
	}
	if a.reply.RetryAfter > 0 {
		a.choice.backend.ExtendBackoff(time.Now().Add(a.reply.RetryAfter))
	}
}

// recordRateLimit records the rate limit that the server states, or that it states
// none. The header of another server, or of an answer to an earlier request, says
// nothing about the present, and a refusal need not repeat the limit.
func (a *attempt) recordRateLimit() {
	limit := a.reply.RateLimit
	if a.reply.Status == http.StatusMisdirectedRequest || a.reply.RequestID != a.req.call.ID {
		return
	}
	if limit.Stated || limit.Invalid || a.verdict != notRun {
		a.gateway.Limits.Observe(a.server(), limit, a.sentAt)
	}
}

// settle reports the result to the backend and frees its slot, once.
func (a *attempt) settle() {
	if a.settled {
		return
	}
	a.settled = true
	now := time.Now()
	a.choice.backend.Settle(now, now.Sub(a.began), a.result())
	a.observeHold(now)
	a.gateway.capacityFreed(a.req.service, a.choice.backend)
}

func (a *attempt) result() backends.CallResult {
	switch {
	case a.verdict == deliver && a.slow:
		return backends.CallSlow
	case a.verdict == deliver:
		return backends.CallGood
	case a.verdict == notRun && (a.response == nil || a.reply.Status == http.StatusMisdirectedRequest):
		return backends.CallUnreachable
	case a.verdict == notRun:
		return backends.CallBusy
	case a.timedOut.Load() || a.ctx.Err() == nil:
		return backends.CallFailed
	default:
		return backends.CallNeutral
	}
}

// close ends the attempt. Where the response was not read to its end, its
// connection is closed, so that the server stops.
func (a *attempt) close() {
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.settle()
	if a.verdict == deliver {
		a.reportVersion()
	}
}
