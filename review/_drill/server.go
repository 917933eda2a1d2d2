package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend server: it works on a few requests at a time and queues others.
type server struct {
	id, service, address string
	slots, queue         int
	born                 int64
	// work is how long a request occupies a slot.
	work time.Duration
	// streams is true for a model server, which answers with events.
	streams bool
	// losesAnswer reports whether the answer of a run is lost: the channel is reset without it. nil
	// means that none is.
	losesAnswer func(s *server, id string) bool
	// arrived is called with each request that arrives; it may be nil.
	arrived func(s *server, id string)
	server  *http.Server
	left    chan struct{}
	// runs counts the requests that the server began to run.
	runs atomic.Int64

	mu    sync.Mutex
	state string
	seq   int
	// running and waiting are the numbers of requests in slots and in the queue.
	running, waiting int
	free             chan struct{}
	log              *record
	// quiet keeps the requests of the server out of the record.
	quiet bool
}

func startServer(id, service string, slots, queue int, work time.Duration, streams bool, log *record) (*server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, address: listener.Addr().String(), slots: slots, queue: queue, born: time.Now().UnixMilli(),
		work: work, streams: streams, state: "ready", free: make(chan struct{}, slots), log: log,
	}
	for range slots {
		s.free <- struct{}{}
	}
	s.left = make(chan struct{})
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64 << 10}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// load returns the value of the load header.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Medlarslip-Request-Id")
	w.Header().Set("X-Medlarslip-Server-Load", s.load())
	if expected := r.Header.Get("X-Medlarslip-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Medlarslip-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Medlarslip-Request-Id", id)
	s.note("arrives", id, s.id+" deadline "+r.Header.Get("X-Medlarslip-Deadline-Ms"))
	if s.arrived != nil {
		s.arrived(s, id)
	}
	if !s.enter(r) {
		s.note("rejected", id, s.id)
		w.Header().Set("X-Medlarslip-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	if r.Context().Err() != nil {
		return
	}
	s.runs.Add(1)
	s.note("runs", id, s.id)
	if s.losesAnswer != nil && s.losesAnswer(s, id) {
		s.note("answer lost", id, s.id)
		reset(w)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.note("client left", id, s.id)
		return
	}
	s.answer(w, id)
}

// enter waits for a slot. It reports false if the queue is full.
func (s *server) enter(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= s.queue && len(s.free) == 0 {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	select {
	case <-s.free:
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return false
	}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
}

const plainBody = "recorded"

// answer sends a complete answer: a stream of three events, or a body.
func (s *server) answer(w http.ResponseWriter, id string) {
	w.Header().Set("X-Medlarslip-Server-Seal", "seal."+s.id+"."+id)
	w.Header().Set("X-Medlarslip-Server-Load", s.load())
	if !s.streams {
		w.Header().Set("Content-Length", strconv.Itoa(len(plainBody)))
		_, _ = w.Write([]byte(plainBody))
		s.note("answered by server", id, s.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
	}
	s.note("answered by server", id, s.id)
}

// reset closes the connection of a request with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// note adds a line to the record.
func (s *server) note(what, id, detail string) {
	if !s.quiet {
		s.log.add(what, id, detail)
	}
}
