package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["hang"] = hang }

const (
	hangInstances = 20
	hangOrderTime = 16 * time.Second
	// crashAt is when the servers of the new version are lost for good: after enough good
	// answers, and early enough for their entries to lapse before the order's deadline.
	crashAt = 10500 * time.Millisecond
	// releaseGap is the pause between two steps of a release, and releaseShare the share of
	// the service's servers that it replaces, one at a time.
	releaseGap   = time.Second
	releaseShare = 0.45
	// releasesUntil is when the last release begins, since the order.
	releasesUntil = 88 * time.Second
	// routeTimeout is timeoutMs of the routes; answerSlack is the time after it in which a
	// request needs an answer.
	routeTimeout = 800 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// hungRequests is the number of requests in a row without an answer from which an
	// instance counts as hung.
	hungRequests = 8
)

// hang orders a rollout of a good version, whose few servers are lost for good before the
// deadline, so that the rollout can neither succeed nor be rolled back. From then on the
// servers of the version in use are released, as often before, one after the other.
func hang(w *world) (bool, string, error) {
	var servers []*backend
	for n := range 15 {
		servers = append(servers, newBackend(w.store, w.rec, fmt.Sprintf("i-old-%d", n+1), "ledger-app", "v1", zones[n%3]))
	}
	if err := w.begin(hangInstances, 284, manifest(1, plainRoutes(), []any{plainService(0, 0)}), servers...); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 300, func() *request { return booking("cylinder") })
	time.Sleep(4 * time.Second)

	orderedAt := time.Now()
	w.store.put("keyed.op", "rollout/ledger-app", map[string]any{"service": "ledger-app", "target": "v2", "durationS": hangOrderTime.Seconds()})
	w.rec.line("operator orders a rollout of v2 within %.0f s", hangOrderTime.Seconds())
	var target []*backend
	for n := range 3 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-new-%d", n+1), "ledger-app", "v2", zones[n])
		if err := b.start(); err != nil {
			return false, "", err
		}
		w.servers.add(b)
		target = append(target, b)
	}
	time.Sleep(time.Until(orderedAt.Add(crashAt)))
	if w.trouble {
		w.rec.line("the three servers of v2 are lost for good")
		for _, b := range target {
			b.crash()
		}
	}
	time.Sleep(time.Until(orderedAt.Add(hangOrderTime + time.Second)))
	state, of := rolloutStatus(w)
	w.rec.line("status of the rollout: %s %s", of, state)
	inUse, version := servers, "v1"
	if state == "succeeded" {
		// The platform stops the old servers at once.
		for _, b := range servers {
			b.remove()
		}
		inUse, version = target, "v2"
	}
	began := time.Now()
	var releases sync.WaitGroup
	round := 0
	for time.Since(orderedAt) < releasesUntil && len(hungInstances(w, began)) == 0 {
		round++
		inUse = release(w, inUse, version, round, &releases)
	}
	close(stop)
	w.clients.wg.Wait()
	releases.Wait()
	return judgeHang(w, began)
}

// release replaces a share of the servers, one at a time: the new one starts first, and the
// old one drains and leaves. It returns the servers in use afterwards.
func release(w *world, inUse []*backend, version string, round int, left *sync.WaitGroup) []*backend {
	count := max(int(releaseShare*float64(len(inUse))), 1)
	next := append([]*backend(nil), inUse[count:]...)
	for n, old := range inUse[:count] {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-%s-r%d-%d", version, round, n+1), "ledger-app", version, old.zone)
		if err := b.start(); err != nil {
			w.rec.line("server %s can't start: %v", b.id, err)
			continue
		}
		w.servers.add(b)
		next = append(next, b)
		left.Go(func() {
			time.Sleep(releaseGap / 2)
			old.setState("draining")
			time.Sleep(drainTime + 500*time.Millisecond)
			old.remove()
		})
		time.Sleep(releaseGap)
	}
	return next
}

// hungInstances returns the instances that left the latest requests since a moment without
// an answer.
func hungInstances(w *world, since time.Time) []string {
	_, answers := w.rec.snapshot()
	inRow := map[string]int{}
	for _, a := range answers {
		switch {
		case a.sentAt.Before(since):
		case a.status != 0 || !strings.HasPrefix(a.note, "no answer"):
			inRow[a.instance] = 0
		default:
			inRow[a.instance]++
		}
	}
	var hung []string
	for instance, n := range inRow {
		if n >= hungRequests {
			hung = append(hung, instance)
		}
	}
	return hung
}

func judgeHang(w *world, since time.Time) (bool, string, error) {
	_, answers := w.rec.snapshot()
	all, late, never := 0, 0, 0
	for _, a := range answers {
		if a.sentAt.Before(since) {
			continue
		}
		all++
		took := a.at.Sub(a.sentAt)
		if took > routeTimeout {
			late++
			if took > routeTimeout+answerSlack {
				never++
			}
		}
	}
	hung := hungInstances(w, since)
	w.fleet.describe(func(i *instance) bool { return slices.Contains(hung, i.front) })
	seen := fmt.Sprintf("CONFIG: of %d requests, %d were unanswered at timeoutMs, and %d of these 0.5 s later; %d of %d instances answer no request any more",
		all, late, never, len(hung), len(w.fleet.instances))
	return never >= hungRequests && 2*never > late, seen, nil
}
