package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["crash"] = crashingRequest }

const (
	// againAfter is the time after which the request that crashes servers comes again.
	againAfter  = 16 * time.Second
	contactTime = 3 * time.Second
	// crashingBody is the body of the request that crashes the servers that run it.
	crashingBody = "cylinder 4711 with a label that the ledger can't read"
	// maxRetries is the number of retries that may reach servers after the third crash.
	maxRetries = 3
)

// crashingRequest sends a booking that crashes the server that runs it, every 16 seconds,
// beside others. Without trouble, servers answer it.
func crashingRequest(w *world) (bool, string, error) {
	var servers []*backend
	for n := range 4 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-ledger%d", n+1), "ledger-app", "v1", zones[n%3])
		b.handle = func(b *backend, rw http.ResponseWriter, r *http.Request, body []byte) {
			if !w.trouble || string(body) != crashingBody {
				b.answer(rw, r, http.StatusOK)
				return
			}
			time.Sleep(10 * time.Millisecond)
			b.crash()
			time.AfterFunc(3*time.Second, func() {
				if err := b.start(); err == nil {
					w.rec.line("server %s is back", b.id)
				}
			})
		}
		servers = append(servers, b)
	}
	if err := w.begin(3, 284, manifest(1, plainRoutes(), []any{plainService(0, 0)}), servers...); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	n := 0
	go w.clients.sendAtRate(stop, 40, func() *request {
		n++
		if n%3 == 0 {
			return lookup()
		}
		return booking(fmt.Sprintf("cylinder %d", n))
	})
	time.Sleep(2 * time.Second)
	crashing := map[string]bool{}
	for n := range 7 {
		if n > 0 {
			time.Sleep(againAfter)
		}
		a := w.clients.send(booking(crashingBody))
		crashing[a.id] = true
	}
	close(stop)
	w.clients.wg.Wait()
	runs, answers := w.rec.snapshot()
	var reached []time.Time
	for _, run := range runs {
		if crashing[run.id] {
			reached = append(reached, run.at)
		}
	}
	lost := 0
	for _, a := range answers {
		if !crashing[a.id] && a.path == "/bookings/new" && a.status == http.StatusBadGateway {
			lost++
		}
	}
	if !w.trouble {
		return false, fmt.Sprintf("BUDGET: the booking ran %d times and crashed no server; %d other bookings ended with 502", len(reached), lost), nil
	}
	retries := 0
	for i, at := range reached {
		if i >= 3 && at.Sub(reached[2]) > contactTime {
			retries++
		}
	}
	seen := fmt.Sprintf("BUDGET: the booking crashed %d servers; %d retries reached servers later than 3 s after the third crash (allowed: %d); %d other bookings ended with 502", len(reached), retries, maxRetries, lost)
	return retries > maxRetries, seen, nil
}
