package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write to the store. An entry is removed
// after three of them without a write.
const heartbeat = 1200 * time.Millisecond

// backend is a stand-in of a server. A crash closes its listener and resets its
// connections; it starts again under the same ID and address.
type backend struct {
	id, service, version, zone string
	slots, queue               int
	work                       time.Duration
	address                    string
	store                      *store
	rec                        *recorder
	// handle runs a request that has a slot; nil means an answer after work.
	handle func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)
	// onArrival sees each request before it is run, and may reject it.
	onArrival func(b *backend, r *http.Request) (rejected bool)

	mu       sync.Mutex
	up       bool
	cut      bool
	state    string
	coldTill time.Time
	born     int64
	seq      int
	written  string
	beatAt   time.Time
	running  int
	waiting  int
	places   chan struct{}
	server   *http.Server
	conns    map[net.Conn]bool
}

func newBackend(st *store, rec *recorder, id, service, version, zone string) *backend {
	return &backend{
		id: id, service: service, version: version, zone: zone, slots: 6, queue: 24, work: 30 * time.Millisecond,
		store: st, rec: rec, state: "ready",
	}
}

// start starts a new lifetime of the server.
func (b *backend) start() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.address = listener.Addr().String()
	b.up, b.born, b.running, b.waiting = true, time.Now().UnixMilli(), 0, 0
	b.places, b.conns = make(chan struct{}, b.slots), map[net.Conn]bool{}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ConnState: b.track}
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	b.beat()
	return nil
}

func (b *backend) track(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(b.conns, conn)
		return
	}
	b.conns[conn] = true
}

// crash ends the server at once: its connections are reset, and new ones are refused.
func (b *backend) crash() {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return
	}
	b.up = false
	server := b.server
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	b.mu.Unlock()
	_ = server.Close()
	b.rec.line("server %s crashes", b.id)
}

// beat writes the entry of the server if it is up and reaches the store. A write that
// changes nothing but seq leaves the entry as it is.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up || b.cut {
		return
	}
	b.seq++
	b.beatAt = time.Now()
	cold := max(time.Until(b.coldTill).Milliseconds(), 0)
	content := fmt.Sprintf("%s %d %d", b.state, b.coldTill.UnixMilli(), b.born)
	if content == b.written {
		return
	}
	b.written = content
	b.store.put("keyed.servers", b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": b.version, "slots": b.slots,
		"state": b.state, "coldLeftMs": cold, "seq": b.seq, "born": b.born,
	})
	b.rec.line("store acknowledges the entry of %s: %s, version %s, cold for %d ms", b.id, b.state, b.version, cold)
}

// expire removes the entry of a server that has been silent for three intervals.
func (b *backend) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.written != "" && time.Since(b.beatAt) > 3*heartbeat {
		b.written = ""
		b.store.put("keyed.servers", b.id, nil)
		b.rec.line("store removes the entry of %s", b.id)
	}
}

// remove removes the entry and ends the server.
func (b *backend) remove() {
	b.mu.Lock()
	b.written = ""
	b.mu.Unlock()
	b.store.put("keyed.servers", b.id, nil)
	b.rec.line("server %s has left", b.id)
	b.crash()
}

func (b *backend) setState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.beat()
}

// keepEntries lets servers write to the store until stop is closed.
func keepEntries(stop <-chan struct{}, servers func() []*backend) {
	ticker := time.NewTicker(heartbeat / 4)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, b := range servers() {
			if n%4 == 0 {
				b.beat()
			}
			b.expire()
		}
	}
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

func (b *backend) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Medlarslip-Not-Executed", "1")
	w.WriteHeader(status)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Medlarslip-Request-Id")
	header := w.Header()
	header.Set("X-Medlarslip-Request-Id", id)
	header.Set("X-Medlarslip-Server-Load", b.load())
	if expect := r.Header.Get("X-Medlarslip-Expect-Instance"); expect != "" && expect != b.id {
		b.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if b.onArrival != nil && b.onArrival(b, r) {
		b.reject(w, http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	places := b.places
	if b.running+b.waiting >= b.slots+b.queue {
		b.mu.Unlock()
		b.reject(w, http.StatusServiceUnavailable)
		return
	}
	b.waiting++
	b.mu.Unlock()
	select {
	case places <- struct{}{}:
	case <-r.Context().Done():
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		return
	}
	b.mu.Lock()
	b.waiting--
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
		<-places
	}()
	header.Set("X-Medlarslip-Server-Seal", "seal-"+b.id)
	b.rec.ran(b, r, body)
	if b.handle != nil {
		b.handle(b, w, r, body)
		return
	}
	b.answer(w, r, http.StatusOK)
}

// answer answers after the time that the work takes.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, status int) {
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	up := b.up
	b.mu.Unlock()
	if !up {
		return
	}
	body := "recorded by " + b.id
	if status != http.StatusOK {
		body = "failed at " + b.id
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
