package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["reborn"] = reborn }

const (
	coldS    = 3.0
	coldPerS = 14.0
	// coldBound is coldPerS x coldOvershoot + coldSlack.
	coldBound = coldPerS*1.5 + 5
	// crashRate is the rate, well above coldPerS, at which a cold server crashes.
	crashRate = 3 * coldPerS
)

// reborn cuts one of five servers from the store, not from the instances. Behind the cut
// it crashes and starts again, and is cold.
func reborn(w *world) (bool, string, error) {
	var mu sync.Mutex
	var whileCold []time.Time
	crashes := 0
	var servers []*backend
	for n := range 5 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-ledger%d", n+1), "ledger-app", "v1", zones[n%3])
		b.slots, b.queue = 12, 48
		b.onArrival = func(b *backend, _ *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			b.mu.Lock()
			cold := time.Now().Before(b.coldTill)
			b.mu.Unlock()
			if !cold {
				return false
			}
			whileCold = append(whileCold, time.Now())
			if inLastSecond(whileCold) > crashRate {
				crashes++
				go func() {
					b.crash()
					time.Sleep(time.Second)
					restartCold(w, b)
				}()
				b.mu.Lock()
				b.coldTill = time.Time{}
				b.mu.Unlock()
			}
			return false
		}
		servers = append(servers, b)
	}
	if err := w.begin(3, 284, manifest(1, plainRoutes(), []any{plainService(coldS, coldPerS)}), servers...); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	n := 0
	go w.clients.sendAtRate(stop, 250, func() *request {
		n++
		if n%3 == 0 {
			return lookup()
		}
		return booking("cylinder")
	})
	time.Sleep(5 * time.Second)
	b := servers[1]
	if w.trouble {
		b.mu.Lock()
		b.cut = true
		b.mu.Unlock()
		w.rec.line("server %s is cut from the store", b.id)
		time.Sleep(500 * time.Millisecond)
		b.crash()
		time.Sleep(time.Second)
		restartCold(w, b)
		time.Sleep(3500 * time.Millisecond)
		b.mu.Lock()
		b.cut = false
		b.mu.Unlock()
		w.rec.line("server %s reaches the store again", b.id)
		b.beat()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	w.clients.wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := mostInSecond(whileCold)
	_, answers := w.rec.snapshot()
	lost := 0
	for _, a := range answers {
		if a.path == "/bookings/new" && a.status == http.StatusBadGateway {
			lost++
		}
	}
	seen := fmt.Sprintf("FAILBACK: a cold server got up to %d requests in one second (allowed: %.0f); it crashed under them %d times; %d bookings ended with 502", most, coldBound, crashes, lost)
	return float64(most) > coldBound, seen, nil
}

// restartCold starts a server again under its ID and address, cold.
func restartCold(w *world, b *backend) {
	b.mu.Lock()
	b.coldTill = time.Now().Add(time.Duration(coldS * float64(time.Second)))
	b.mu.Unlock()
	if err := b.start(); err != nil {
		w.rec.line("server %s can't start: %v", b.id, err)
		return
	}
	w.rec.line("server %s has started again and is cold for %.0f s", b.id, coldS)
}

func inLastSecond(times []time.Time) int {
	count := 0
	for i := len(times) - 1; i >= 0 && time.Since(times[i]) < time.Second; i-- {
		count++
	}
	return count
}

func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
