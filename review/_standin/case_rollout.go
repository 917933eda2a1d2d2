package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { scenarios["rollout"] = secondRollout }

const (
	orderTime    = 12 * time.Second
	exposeShare  = 0.15
	exposeSlack  = 30
	rollbackTime = 5 * time.Second
	badAnswers   = 50
	// drainAfter is how long after rolled_back the servers of the bad version drain.
	drainAfter = 10 * time.Second
	drainTime  = 2 * time.Second
)

func orderRollout(w *world, target string) time.Time {
	at := time.Now()
	w.store.put("keyed.op", "rollout/ledger-app", map[string]any{"service": "ledger-app", "target": target, "durationS": orderTime.Seconds()})
	w.rec.line("operator orders a rollout of %s", target)
	return at
}

func rolloutStatus(w *world) (state, target string) {
	var status struct{ State, Target string }
	if json.Unmarshal(w.store.get("keyed.status", "rollout/ledger-app"), &status) != nil {
		return "", ""
	}
	return status.State, status.Target
}

// startVersion starts three servers of a version. Of a bad version, half of the answers are
// failures with a status; 0 means a good version.
func startVersion(w *world, version string, badStatus int, badTimes *[]time.Time) ([]*backend, error) {
	var servers []*backend
	var count atomic.Int64
	for n := range 3 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-%s-%d", version, n+1), "ledger-app", version, zones[n])
		b.slots, b.queue = 12, 48
		b.handle = func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			if badStatus == 0 || count.Add(1)%2 == 0 {
				b.answer(rw, r, http.StatusOK)
				return
			}
			b.answer(rw, r, badStatus)
			w.rec.mu.Lock()
			*badTimes = append(*badTimes, time.Now())
			w.rec.mu.Unlock()
		}
		servers = append(servers, b)
	}
	for _, b := range servers {
		if b.up {
			continue
		}
		if err := b.start(); err != nil {
			return nil, err
		}
		w.servers.add(b)
	}
	return servers, nil
}

// drainVersion drains servers one after the other, as the platform does after rolled_back.
func drainVersion(servers []*backend) {
	for _, b := range servers {
		b.setState("draining")
	}
	time.Sleep(drainTime + time.Second)
	for _, b := range servers {
		b.remove()
	}
}

// secondRollout orders a bad version, waits until the system has rolled it back, and orders
// the next version a second later, while the servers of the bad one still run. Without
// trouble, the next version is ordered once these have left.
func secondRollout(w *world) (bool, string, error) {
	var none []time.Time
	if err := w.begin(3, 284, manifest(1, plainRoutes(), []any{plainService(0, 0)})); err != nil {
		// The instances are ready only with servers.
		return false, "", err
	}
	if _, err := startVersion(w, "v1", 0, &none); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 300, func() *request { return booking("cylinder") })
	time.Sleep(4 * time.Second)

	var badTimes []time.Time
	orderedAt := orderRollout(w, "v2")
	bad, err := startVersion(w, "v2", http.StatusInternalServerError, &badTimes)
	if err != nil {
		return false, "", err
	}
	rolledBack := false
	for time.Since(orderedAt) < orderTime && !rolledBack {
		time.Sleep(50 * time.Millisecond)
		state, target := rolloutStatus(w)
		rolledBack = state == "rolled_back" && target == "v2"
	}
	if !rolledBack {
		close(stop)
		return false, "", fmt.Errorf("the bad version was not rolled back")
	}
	rolledBackAt := time.Now()
	w.rec.line("operator reads that v2 is rolled back")
	drained := make(chan struct{})
	time.AfterFunc(drainAfter, func() {
		drainVersion(bad)
		close(drained)
	})
	if w.trouble {
		time.Sleep(time.Second)
	} else {
		<-drained
		time.Sleep(2 * time.Second)
	}
	orderRollout(w, "v3")
	if _, err := startVersion(w, "v3", 0, &none); err != nil {
		return false, "", err
	}
	<-drained
	time.Sleep(max(time.Until(orderedAt.Add(orderTime)), 0) + 2*time.Second)
	close(stop)
	w.clients.wg.Wait()
	return judgeExposure(w, orderedAt, rolledBackAt, badTimes)
}

func judgeExposure(w *world, orderedAt, rolledBackAt time.Time, badTimes []time.Time) (bool, string, error) {
	runs, answers := w.rec.snapshot()
	sentAt := map[string]time.Time{}
	failed := 0
	for _, a := range answers {
		sentAt[a.id] = a.sentAt
		if a.status >= http.StatusInternalServerError && a.sentAt.After(rolledBackAt) {
			failed++
		}
	}
	all, exposed, afterRollback, late := 0, 0, 0, 0
	for _, run := range runs {
		if run.at.After(orderedAt) && run.at.Before(orderedAt.Add(orderTime)) {
			all++
			if run.version == "v2" {
				exposed++
			}
		}
		if run.version != "v2" {
			continue
		}
		if run.at.After(rolledBackAt.Add(time.Second)) {
			afterRollback++
		}
		if len(badTimes) >= badAnswers && sentAt[run.id].After(badTimes[badAnswers-1].Add(rollbackTime)) {
			late++
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	seen := "EXPOSURE: of " + strconv.Itoa(all) + " requests between the order and its deadline, the bad version got " + strconv.Itoa(exposed) +
		fmt.Sprintf(" (allowed: %.0f); %d ran on it more than a second after it was rolled back or another version was ordered, and %d requests sent after that were answered 5xx;", allowed, afterRollback, failed) +
		fmt.Sprintf(" it had %d bad answers, and %d requests that were sent over 5 s after the 50th", len(badTimes), late)
	return float64(exposed) > allowed || late > 0, seen, nil
}
