package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["readers"] = refusedReaders }

const (
	// outage is how long the store is silent, and refusedFrom and refusedTime when after
	// its return, and for how long, it turns two instances away.
	outage      = 4500 * time.Millisecond
	refusedFrom = 1200 * time.Millisecond
	refusedTime = 9 * time.Second
	// applyTime is configApplyMs.
	applyTime = 2 * time.Second
	rounds    = 3
)

// lookupsAt is a configuration in which the route of the lookups leads to a service.
func lookupsAt(version int, service string) map[string]any {
	routes := plainRoutes()
	routes[1].(map[string]any)["service"] = service
	archive := plainService(0, 0)
	archive["name"] = "archive-app"
	return manifest(version, routes, []any{plainService(0, 0), archive})
}

// refusedReaders lets the store fall silent, and once it is back turn away the two
// instances that read it first. When it has been stable for contactMs, the operator moves a
// route to another service.
func refusedReaders(w *world) (bool, string, error) {
	const instances = 8
	if err := w.store.openDoors(instances); err != nil {
		return false, "", err
	}
	var servers []*backend
	for n := range 3 {
		for _, service := range []string{"ledger-app", "archive-app"} {
			servers = append(servers, newBackend(w.store, w.rec, fmt.Sprintf("i-%s-%d", service, n+1), service, "v1", zones[n]))
		}
	}
	if err := w.begin(instances, 284, lookupsAt(1, "ledger-app"), servers...); err != nil {
		return false, "", err
	}
	// The first instance of a zone comes before the second of any, and zones by name.
	refused := map[string]bool{w.fleet.instances[0].front: true, w.fleet.instances[1].front: true}
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 150, lookup)
	stale, all := 0, 0
	version, service, before := 1, "ledger-app", "archive-app"
	for range rounds {
		time.Sleep(8 * time.Second)
		if w.trouble {
			w.rec.line("the store answers nobody")
			for _, d := range w.store.doors {
				d.set(doorSilent)
			}
		}
		time.Sleep(outage)
		if w.trouble {
			w.rec.line("the store is back")
			for _, d := range w.store.doors {
				d.set(doorOpen)
			}
		}
		time.Sleep(refusedFrom)
		refusedUntil := time.Now().Add(refusedTime)
		if w.trouble {
			w.rec.line("the store turns the first two instances away")
			w.store.doors[0].set(doorBusy)
			w.store.doors[1].set(doorBusy)
		}
		time.Sleep(contactTime - refusedFrom + 100*time.Millisecond)
		version++
		service, before = before, service
		w.store.put("keyed.op", "config", lookupsAt(version, service))
		ackedAt := time.Now()
		w.rec.line("store acknowledges version %d: lookups lead to %s", version, service)
		time.Sleep(time.Until(refusedUntil))
		for _, d := range w.store.doors {
			d.set(doorOpen)
		}
		old, counted := staleRuns(w, ackedAt.Add(applyTime), refusedUntil, before, refused)
		w.rec.line("%d of %d lookups that were sent over %s after that ran at %s", old, counted, applyTime, before)
		stale, all = stale+old, all+counted
	}
	close(stop)
	w.clients.wg.Wait()
	seen := fmt.Sprintf("CONFIG: of %d requests that were sent over configApplyMs after the ack, %d were run by the old service; those through the two instances that are turned away don't count", all, stale)
	return stale > 0, seen, nil
}

// staleRuns counts the requests sent between two moments, and those of them that a server
// of the old service has run. Requests through some instances are left out.
func staleRuns(w *world, from, to time.Time, old string, without map[string]bool) (stale, all int) {
	runs, answers := w.rec.snapshot()
	counted := map[string]bool{}
	for _, a := range answers {
		if a.sentAt.After(from) && a.sentAt.Before(to) && !without[a.instance] {
			counted[a.id] = true
		}
	}
	for _, run := range runs {
		if counted[run.id] && strings.HasPrefix(run.server, "i-"+old) {
			stale++
		}
	}
	return stale, len(counted)
}
