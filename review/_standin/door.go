package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// doorState says how the store treats the calls of one instance.
type doorState int32

const (
	doorOpen doorState = iota
	// doorSilent answers nothing, and never will: calls hang until the caller gives up.
	doorSilent
	// doorBusy answers 503: nothing was done.
	doorBusy
)

// door is the address at which one instance reaches the store.
type door struct {
	store    *store
	listener net.Listener
	state    atomic.Int32
}

// openDoors gives each of a number of instances an address of its own.
func (s *store) openDoors(count int) error {
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d := &door{store: s, listener: listener}
		s.doors = append(s.doors, d)
		go func() { _ = (&http.Server{Handler: d}).Serve(listener) }()
	}
	return nil
}

func (d *door) set(state doorState) { d.state.Store(int32(state)) }

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch doorState(d.state.Load()) {
	case doorSilent:
		<-r.Context().Done()
		return
	case doorBusy:
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	d.store.ServeHTTP(answer, r)
	if doorState(d.state.Load()) == doorSilent {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
