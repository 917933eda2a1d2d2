package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and keeps it for the check.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	runs    []serverRun
	answers []clientAnswer
}

// serverRun is one request that a server began to run.
type serverRun struct {
	at                  time.Time
	server, version, id string
	path, model         string
}

// clientAnswer is the end of one client request.
type clientAnswer struct {
	sentAt, at time.Time
	id, path   string
	instance   string
	status     int
	whole      bool
	note       string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file}, nil
}

func (r *recorder) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// line writes a line with the time since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

// ran records that a server began to run a request.
func (r *recorder) ran(b *backend, req *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := serverRun{
		at: time.Now(), server: b.id, version: b.version, id: req.Header.Get("X-Medlarslip-Request-Id"),
		path: req.URL.Path, model: req.Header.Get("X-Medlarslip-Model"),
	}
	r.runs = append(r.runs, run)
	r.write("run      %s at %s (%s) %s model %q, %d bytes", run.id, run.server, run.version, run.path, run.model, len(body))
}

// answered records the end of a client request.
func (r *recorder) answered(a clientAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.at = time.Now()
	r.answers = append(r.answers, a)
	r.write("answered %s %s by %s: status %d, whole %v %s", a.id, a.path, a.instance, a.status, a.whole, a.note)
}

func (r *recorder) sent(id, path, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("sent     %s %s to %s", id, path, address)
}

// snapshot returns what has been recorded so far.
func (r *recorder) snapshot() ([]serverRun, []clientAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]serverRun(nil), r.runs...), append([]clientAnswer(nil), r.answers...)
}
