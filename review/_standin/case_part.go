package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["part"] = crashingPart }

const firstPart = "5c1e07a2"

// badPart crashes the servers that begin to write an answer on it.
var badPart = "91bd3f06"

func notesRoute() map[string]any {
	return map[string]any{
		"name": "audit", "host": "records.example", "pathPrefix": "/audit/", "kind": "streaming", "service": "drafting-models",
		"timeoutMs": 20000, "goalMs": 3000, "gapGoalMs": 1000, "priority": 1, "maxAttempts": 3, "public": false, "sticky": true, "canResume": true,
	}
}

// audit is a request for an audit report whose second prompt part is given.
func audit(second string) *request {
	own := fmt.Sprintf("%08x", rand.Uint32())
	return &request{
		method: http.MethodPost, path: "/audit/new", body: []byte("cylinder log " + second + " " + own), deadline: 20 * time.Second,
		header: map[string]string{
			"X-Medlarslip-Model": "large", "X-Medlarslip-Token-Usage": "1460,80",
			"X-Medlarslip-Prompt-Prefix": fmt.Sprintf("%s:512,%s:700,%s:248", firstPart, second, own),
		},
	}
}

func soundPart() string { return fmt.Sprintf("e4402b%02x", rand.IntN(20)) }

// crashingPart restarts the instances in turn, as in a release of the system, and then
// sends requests with a part that crashes servers before sound ones come again.
func crashingPart(w *world) (bool, string, error) {
	if id := os.Getenv("PART"); id != "" {
		badPart = id
	}
	var crashes atomic.Int64
	var servers []*backend
	for n := range 9 {
		b := newBackend(w.store, w.rec, fmt.Sprintf("i-model%d", n+1), "drafting-models", "v1", zones[n%3])
		b.slots, b.queue = 64, 134
		b.handle = func(b *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			parts := strings.Split(r.Header.Get("X-Medlarslip-Prompt-Prefix"), ",")
			if w.trouble && strings.HasPrefix(parts[1], badPart) {
				rw.Header().Set("Content-Type", "text/event-stream")
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(20 * time.Millisecond)
				crashes.Add(1)
				b.crash()
				time.AfterFunc(3*time.Second, func() { _ = b.start() })
				return
			}
			streamEvents(rw, r)
		}
		servers = append(servers, b)
	}
	if err := w.begin(3, 284, manifest(1, []any{notesRoute()}, []any{modelService()}), servers...); err != nil {
		return false, "", err
	}
	before := served(w, 40, 100*time.Millisecond, soundPart)
	for _, i := range w.fleet.instances {
		w.rec.line("%s is stopped and started again", i.name)
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
		<-i.exited
		if err := w.fleet.start(i); err != nil {
			return false, "", err
		}
		if err := w.fleet.awaitReady(10 * time.Second); err != nil {
			return false, "", err
		}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	go w.clients.sendAtRate(stop, 1, func() *request { return audit(badPart) })
	time.Sleep(16 * time.Second)
	during := served(w, 60, 200*time.Millisecond, soundPart)
	close(stop)
	w.clients.wg.Wait()
	seen := fmt.Sprintf("LOST: of sound requests with the same first part, %.2f began before and %.2f while requests with the bad part come; %d crashes", before, during, crashes.Load())
	return during < before/2, seen, nil
}

// served sends sound requests one after the other and returns the share that is answered
// at the first attempt.
func served(w *world, count int, gap time.Duration, second func() string) float64 {
	var good atomic.Int64
	for range count {
		w.clients.wg.Go(func() {
			if a := w.clients.send(audit(second())); a.status == http.StatusOK && a.whole {
				good.Add(1)
			}
		})
		time.Sleep(gap)
	}
	time.Sleep(time.Second)
	return float64(good.Load()) / float64(count)
}
