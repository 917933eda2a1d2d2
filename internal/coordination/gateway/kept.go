package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/state/clientmemory"
)

// keptReadTime bounds how long the body of a kept answer is read: some round trips of a distant server.
const keptReadTime = 250 * time.Millisecond

// keptAnswer is a weak answer in whose place a stronger model runs. It is delivered if no stronger run
// brings an answer.
type keptAnswer struct {
	attempt *attempt
	// read is closed once the body was read or given up; then body is the whole body, or nil.
	read chan struct{}
	body [][]byte
}

// keepable reports whether the answer of an attempt can be kept at no cost: the server states a length, so
// it has finished the body and reading it frees the slot, and the body fits into one small buffer.
// A stream goes on after its header, so dropping it frees the slot earlier.
func (a *attempt) keepable() bool {
	if a.response == nil || !isSuccess(a.reply.Status) || a.streams() {
		return false
	}
	length, err := strconv.Atoi(a.response.Header().Get("Content-Length"))
	return err == nil && length < clientmemory.FirstResponseBytes
}

// holdKept accounts for the buffer of a kept answer until the request ends, since that of the running
// request is for the stronger answer. It reports whether there is memory for it.
func (r *request) holdKept() bool {
	if r.memory.Short() || r.memory.Grow(clientmemory.FirstResponseBytes) != nil {
		return false
	}
	r.keptBytes += clientmemory.FirstResponseBytes
	return true
}

// dropWeak ends the attempt of a weak answer, which is kept if that costs nothing.
func (g *Gateway) dropWeak(req *request, a *attempt) {
	if !a.keepable() || !req.holdKept() {
		a.close()
		g.observeDrop(a)
		return
	}
	kept := &keptAnswer{attempt: a, read: make(chan struct{})}
	req.kept = kept
	timer := time.AfterFunc(keptReadTime, a.cancel)
	go func() {
		defer close(kept.read)
		defer timer.Stop()
		// No body of that length needs more than the first buffer.
		body, _, err := g.buffers.readWhole(a.response, nil)
		a.close()
		if err != nil {
			g.observeDrop(a)
			return
		}
		g.observeEnd(a)
		kept.body = body
	}()
}

// deliverKept delivers the weak answer of a request for which no stronger run brought an answer. It
// reports whether there is one.
func (g *Gateway) deliverKept(ctx context.Context, w http.ResponseWriter, req *request, e *end) bool {
	kept := req.kept
	if kept == nil || ctx.Err() != nil {
		return false
	}
	<-kept.read
	if kept.body == nil || ctx.Err() != nil {
		return false
	}
	a := kept.attempt
	e.describe(a)
	g.Log.WithFields(logrus.Fields{
		"event": "answer_weak", "request_id": req.call.ID, "server": a.server(), "model": a.model, "confidence": a.reply.Confidence,
		"sent": req.sent, "request_key": req.keys.Key.String(),
	}).Info("weak answer is delivered: no stronger run brought an answer")
	g.writeWhole(w, a, kept.body, e)
	return true
}
