package main

import (
	"net/http"
	"time"
)

func init() { scenarios["status"] = failingStatus }

// watchedAfter is how long after the deadline of the order the requests are counted.
const watchedAfter = 10 * time.Second

// failingStatus orders a rollout of a version of which half of the answers are failures,
// with status 503. They don't say that the request was not run. Without trouble, the version
// is good.
func failingStatus(w *world) (bool, string, error) {
	var none, badTimes []time.Time
	if err := w.begin(3, 284, manifest(1, plainRoutes(), []any{plainService(0, 0)})); err != nil {
		return false, "", err
	}
	old, err := startVersion(w, "v1", 0, &none)
	if err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 300, func() *request { return booking("cylinder") })
	time.Sleep(4 * time.Second)

	orderedAt := orderRollout(w, "v2")
	badStatus := 0
	if w.trouble {
		badStatus = http.StatusServiceUnavailable
	}
	if _, err := startVersion(w, "v2", badStatus, &badTimes); err != nil {
		return false, "", err
	}
	last := ""
	for time.Since(orderedAt) < orderTime+watchedAfter {
		time.Sleep(50 * time.Millisecond)
		state, of := rolloutStatus(w)
		if of+" "+state == last {
			continue
		}
		last = of + " " + state
		w.rec.line("status of the rollout: %s", last)
		if state == "succeeded" {
			// The platform stops the old servers at once.
			for _, b := range old {
				b.remove()
			}
		}
	}
	close(stop)
	w.clients.wg.Wait()
	if !w.trouble {
		return false, "EXPOSURE: no version is bad; status of the rollout: " + last, nil
	}
	broken, seen, err := judgeExposure(w, orderedAt, orderedAt, badTimes)
	return broken, seen + "; status of the rollout: " + last, err
}
