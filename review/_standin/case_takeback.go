package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["takeback"] = takeBack }

// takeBackAfter is the time between the orders of the two operators.
const takeBackAfter = 500 * time.Millisecond

// takeBack orders a rollout of a bad version. Another operator, who wants the service to
// stay on the version in use, orders that one right after. Without trouble, there is no
// second order.
func takeBack(w *world) (bool, string, error) {
	var none, badTimes []time.Time
	if err := w.begin(3, 284, manifest(1, plainRoutes(), []any{plainService(0, 0)})); err != nil {
		return false, "", err
	}
	if _, err := startVersion(w, "v1", 0, &none); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 300, func() *request { return booking("cylinder") })
	time.Sleep(4 * time.Second)

	orderedAt := orderRollout(w, "v2")
	if _, err := startVersion(w, "v2", http.StatusInternalServerError, &badTimes); err != nil {
		return false, "", err
	}
	takenBackAt := orderedAt.Add(takeBackAfter)
	time.Sleep(time.Until(takenBackAt))
	if w.trouble {
		orderRollout(w, "v1")
		// The platform starts servers of the ordered version alongside the others.
		for n := range 3 {
			b := newBackend(w.store, w.rec, fmt.Sprintf("i-v1-more-%d", n+1), "ledger-app", "v1", zones[n])
			b.slots, b.queue = 12, 48
			if err := b.start(); err != nil {
				return false, "", err
			}
			w.servers.add(b)
		}
	}
	last := ""
	for time.Since(orderedAt) < orderTime+2*time.Second {
		time.Sleep(50 * time.Millisecond)
		if state, target := rolloutStatus(w); target+" "+state != last {
			last = target + " " + state
			w.rec.line("status of the rollout: %s", last)
		}
	}
	close(stop)
	w.clients.wg.Wait()
	return judgeExposure(w, orderedAt, takenBackAt, badTimes)
}
