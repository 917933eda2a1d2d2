package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/routes"
)

// relay forwards the response of a server to the client. If the response fails
// before the client has received any of it, the request is retried where that
// is allowed; otherwise the weak answer that was kept is delivered, if there is one.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *request, a *attempt, e *end) {
	for {
		if a.streams() {
			g.relayStream(ctx, w, req, a, e)
			return
		}
		body, release, err := g.buffers.readWhole(a.response, req.memory)
		if err == nil {
			g.observeEnd(a)
			a.comparePrediction(time.Now())
			g.writeWhole(w, a, body, e)
			release()
			a.close()
			return
		}
		if errors.Is(err, errBuffersFull) {
			a.drop()
			*e = e.refuseWith(&refuseDropped)
			return
		}
		g.observeBreak(a)
		if a.verdict == deliver {
			a.verdict = unknown
			e.verdicts[len(e.verdicts)-1] = a.verdict.String()
		}
		a.close()
		next := g.retry(ctx, req, a, e)
		if next == nil {
			if g.deliverKept(ctx, w, req, e) {
				return
			}
			*e = e.giveUp(ctx, req, g.notRun(req))
			return
		}
		a = next
	}
}

// retry sends a request again after its response failed. It returns nil where
// no attempt gave a deliverable response.
func (g *Gateway) retry(ctx context.Context, req *request, a *attempt, e *end) *attempt {
	for v := a.verdict; ctx.Err() == nil && g.takeRetry(req, v); v = a.verdict {
		a = g.attempt(ctx, req, "", req.call.LastEventID)
		if a == nil {
			return nil
		}
		e.record(a)
		if a.verdict == deliver {
			return a
		}
		a.close()
	}
	return nil
}

func (a *attempt) streams() bool {
	return a.verdict == deliver && a.req.route.Kind == routes.Stream && isSuccess(a.reply.Status)
}

// writeWhole writes a buffered response.
func (g *Gateway) writeWhole(w http.ResponseWriter, a *attempt, body [][]byte, e *end) {
	a.req.releaseBody()
	header := w.Header()
	g.copyHeader(header, a)
	size := 0
	for _, piece := range body {
		size += len(piece)
	}
	header.Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(a.reply.Status)
	for _, piece := range body {
		// A failed write means that the client has disconnected.
		if _, err := w.Write(piece); err != nil {
			break
		}
	}
	e.outcome = a.verdict.String()
}

func (g *Gateway) copyHeader(dst http.Header, a *attempt) {
	for name, values := range g.Codec.EncodeResponse(a.response.Header()) {
		dst[name] = values
	}
	if _, ok := dst["Content-Type"]; !ok {
		// A nil entry keeps net/http from sniffing a content type.
		dst["Content-Type"] = nil
	}
}

// relayStream forwards the events of a stream. It writes the header with the
// first event, so that until then the request can be retried on another server
// from the start.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, req *request, a *attempt, e *end) {
	s := &relayedStream{gateway: g, req: req, w: w, last: -1, lastSent: req.call.LastEventID}
	defer func() { e.first, e.pause = s.first, s.pause }()
	for {
		err := s.forward(a)
		if err == nil {
			if !s.begun {
				s.begin(a)
			}
			e.outcome = "answered"
			g.observeEnd(a)
			a.close()
			return
		}
		if errors.Is(err, errBuffersFull) {
			a.drop()
			s.drop(e)
			return
		}
		if !s.clientGone {
			g.observeBreak(a)
		}
		version := a.version()
		a.verdict = unknown
		a.close()
		g.logBroken(a, err, s.lastSent)
		if next := s.resume(ctx, a, version, e); next != nil {
			a = next
			continue
		}
		s.fail(ctx, e)
		return
	}
}

// relayedStream is the state of a stream that is forwarded to one client.
type relayedStream struct {
	gateway *Gateway
	req     *request
	w       http.ResponseWriter
	begun   bool
	// last is the number of the last event that was forwarded, or -1.
	last int64
	// lastSent is its ID as text; before the first event, the Last-Event-ID of
	// the client.
	lastSent string
	// first is the time to first event.
	first time.Duration
	// sentAt is when the last event was forwarded, and pause the longest time
	// between two events.
	sentAt time.Time
	pause  time.Duration
	// clientGone is true once an event could not be written to the client.
	clientGone bool
}

// silenceFactor is the multiple of the objective for the gap between events
// after which a stream counts as stalled.
const silenceFactor = 3

// minSilence is the lower bound of that timeout. A loaded server may pause for
// almost as long.
const minSilence = 2 * time.Second

// forward forwards the events of one server until its stream ends. The error
// is nil at the end of a whole stream.
func (s *relayedStream) forward(a *attempt) error {
	events := newEventReader(a.response)
	events.memory = s.req.memory
	defer events.release()
	silence := a.watch(s.silenceTimeout(), a.version())
	defer silence.stop()
	for received := 0; ; received++ {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if received == 0 {
				a.reportFailure()
			}
			now := time.Now()
			a.compareEventInterval(now)
			a.observeStreamEnd(now)
			a.comparePrediction(now)
			return nil
		}
		if err != nil {
			return err
		}
		if ev.id >= 0 && ev.id <= s.last {
			return errEventOrder
		}
		if ev.id >= 0 {
			a.observeEvent(time.Now())
		}
		if err := s.send(a, &ev); err != nil {
			s.clientGone = true
			a.cancel()
			return err
		}
		// Events without a number are no progress, however many arrive.
		if ev.id >= 0 {
			silence.restart()
			s.gateway.Reachability.Received()
			now := time.Now()
			a.recordEvent(now)
			a.recordStart(now)
		}
	}
}

// silenceTimeout returns how long a server may send no numbered event.
func (s *relayedStream) silenceTimeout() time.Duration {
	if !s.req.route.Repeatable() || !s.req.attemptsLeft() {
		return noTimeout
	}
	return max(silenceFactor*s.req.route.GapObjective, minSilence)
}

func (s *relayedStream) begin(a *attempt) {
	s.gateway.copyHeader(s.w.Header(), a)
	s.w.WriteHeader(a.reply.Status)
	s.begun = true
	if !s.req.route.Resumable {
		// The request is not sent again.
		s.req.releaseBody()
	}
}

func (s *relayedStream) send(a *attempt, ev *event) error {
	if !s.begun {
		s.begin(a)
	}
	if _, err := s.w.Write(ev.raw); err != nil {
		return err
	}
	s.recordTimes(time.Now())
	if ev.id >= 0 {
		s.last, s.lastSent = ev.id, strconv.FormatInt(ev.id, 10)
	}
	return http.NewResponseController(s.w).Flush()
}

// recordTimes updates the times that are compared with the latency objectives.
func (s *relayedStream) recordTimes(now time.Time) {
	if s.sentAt.IsZero() {
		s.first = now.Sub(s.req.started)
	} else {
		s.pause = max(s.pause, now.Sub(s.sentAt))
	}
	s.sentAt = now
}

// resume continues a stream after the last forwarded event on another server of
// the same version. Before the first event it retries the request from the
// start. It returns nil if neither is possible.
func (s *relayedStream) resume(ctx context.Context, a *attempt, version string, e *end) *attempt {
	if !s.begun {
		return s.gateway.retry(ctx, s.req, a, e)
	}
	g, req := s.gateway, s.req
	for v := a.verdict; ctx.Err() == nil && req.route.Resumable && g.takeRetry(req, v); v = a.verdict {
		a = g.attempt(ctx, req, version, s.lastSent)
		if a == nil {
			return nil
		}
		e.record(a)
		if a.verdict == deliver && isSuccess(a.reply.Status) {
			e.resumed++
			return a
		}
		a.close()
	}
	return nil
}

// fail ends a stream that can't be resumed. A stream that has begun must not
// look complete, so the connection is closed.
func (s *relayedStream) fail(ctx context.Context, e *end) {
	if !s.begun {
		*e = e.giveUp(ctx, s.req, s.gateway.notRun(s.req))
		return
	}
	e.abort, e.outcome = true, "stream_broken"
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errRequestExpired) {
		e.outcome = cancelOutcome(ctx)
	}
}

// drop ends a stream that this instance has no memory for.
func (s *relayedStream) drop(e *end) {
	if !s.begun {
		*e = e.refuseWith(&refuseDropped)
		return
	}
	e.abort, e.outcome = true, refuseDropped.cause
}

// drop ends an attempt whose response this instance has no memory for. That is no failure of the
// server or its version.
func (a *attempt) drop() {
	a.cancel()
	a.verdict = unknown
	a.close()
}

func (g *Gateway) logBroken(a *attempt, err error, lastEvent string) {
	g.Log.WithError(err).WithFields(logrus.Fields{
		"event": "stream_broken", "request_id": a.req.call.ID, "server": a.server(), "last_event": lastEvent, "shared_parts": a.req.call.sharedParts(),
		"request_key": a.req.keys.Key.String(), "given_up": a.timedOut.Load(),
	}).Info("stream of a backend server failed")
}
