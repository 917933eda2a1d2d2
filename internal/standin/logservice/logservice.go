// Package logservice is a stand-in for the platform's log service: streams in
// memory with offsets, limited retention and faults on demand.
package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
)

// Fault is what happens to one call.
type Fault int

const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultRefuse fails the call without effect.
	FaultRefuse
	// FaultLoseAnswer lets an append take effect and loses its answer.
	FaultLoseAnswer
	// FaultLoseRequest loses an append before its effect, in such a way that
	// the writer can't know.
	FaultLoseRequest
	// FaultDuplicate lets an append take effect twice.
	FaultDuplicate
	// FaultGarbage lets a call take effect and answers with garbage.
	FaultGarbage
	// FaultServerError fails a call inside the service, without effect and in
	// such a way that the caller can't know.
	FaultServerError
	// FaultHold lets a call take effect and holds its answer until Release or
	// the end of the caller's context.
	FaultHold
	// FaultDelay lets an append take effect only after DelayBy, long after
	// its writer was told that the answer was lost.
	FaultDelay
)

// ErrGarbage marks the errors that a service over HTTP turns into an answer
// which can't be decoded.
var ErrGarbage = errors.New("garbage")

// Service is an in-memory log service. It implements eventlog.Log.
type Service struct {
	// DelayBy is the wait of FaultDelay; set it before the first append.
	DelayBy time.Duration

	mu         sync.Mutex
	streams    map[string]*stream
	maxRecords int
	// onAppend and onRead choose the fault of each call; nil means none.
	onAppend func(stream string, records []json.RawMessage) Fault
	onRead   func(stream string, from int64) Fault
	appends  int
	released chan struct{}
}

type stream struct {
	oldest  int64
	records []json.RawMessage
	changed chan struct{}
}

var _ eventlog.Log = (*Service)(nil)

// New returns an empty service that keeps the last keep records of each
// stream; 0 keeps all.
func New(keep int) *Service {
	return &Service{streams: map[string]*stream{}, maxRecords: keep, released: make(chan struct{})}
}

// OnAppend sets the function that chooses the fault of each append.
func (s *Service) OnAppend(fault func(stream string, records []json.RawMessage) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAppend = fault
}

// OnRead sets the function that chooses the fault of each read.
func (s *Service) OnRead(fault func(stream string, from int64) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRead = fault
}

// SetOutage refuses all calls while down is true.
func (s *Service) SetOutage(down bool) {
	if !down {
		s.OnAppend(nil)
		s.OnRead(nil)
		return
	}
	s.OnAppend(func(string, []json.RawMessage) Fault { return FaultRefuse })
	s.OnRead(func(string, int64) Fault { return FaultRefuse })
}

// Appends returns how many appends took effect.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Release ends all calls that are held, now and later.
func (s *Service) Release() { close(s.released) }

// Append implements eventlog.Log.
func (s *Service) Append(ctx context.Context, name string, records []json.RawMessage) (int64, error) {
	first, fault := s.appendNow(name, records)
	switch fault {
	case FaultNone, FaultDuplicate:
		return first, nil
	case FaultRefuse:
		return 0, merry.Prepend(eventlog.ErrNotAppended, "outage")
	case FaultGarbage:
		return 0, fmt.Errorf("%w: %w", eventlog.ErrAppendUnknown, ErrGarbage)
	case FaultHold:
		return first, s.hold(ctx, eventlog.ErrAppendUnknown)
	default:
		return 0, merry.Prepend(eventlog.ErrAppendUnknown, "no answer")
	}
}

// appendNow chooses the fault of an append and carries out its effect.
func (s *Service) appendNow(name string, records []json.RawMessage) (int64, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := FaultNone
	if s.onAppend != nil {
		fault = s.onAppend(name, records)
	}
	switch fault {
	case FaultRefuse, FaultLoseRequest, FaultServerError:
		return 0, fault
	case FaultDelay:
		time.AfterFunc(s.DelayBy, func() { s.appendLate(name, records) })
		return 0, fault
	}
	first := s.appendLocked(name, records)
	if fault == FaultDuplicate {
		s.appendLocked(name, records)
	}
	return first, fault
}

func (s *Service) hold(ctx context.Context, kind error) error {
	select {
	case <-s.released:
		return nil
	case <-ctx.Done():
		return merry.Prepend(kind, ctx.Err().Error())
	}
}

func (s *Service) appendLate(name string, records []json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(name, records)
}

func (s *Service) appendLocked(name string, records []json.RawMessage) int64 {
	st := s.streamLocked(name)
	first := st.next()
	for _, record := range records {
		st.records = append(st.records, append(json.RawMessage(nil), record...))
	}
	if surplus := len(st.records) - s.maxRecords; s.maxRecords > 0 && surplus > 0 {
		st.records = append([]json.RawMessage(nil), st.records[surplus:]...)
		st.oldest += int64(surplus)
	}
	s.appends++
	close(st.changed)
	st.changed = make(chan struct{})
	return first
}

// Trim removes all records of a stream below an offset, as retention does.
func (s *Service) Trim(name string, below int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	count := min(max(below-st.oldest, 0), int64(len(st.records)))
	st.records = st.records[count:]
	st.oldest += count
}

// Read implements eventlog.Log.
func (s *Service) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, fault := s.readNow(name, from, limit)
		if fault != FaultNone {
			return page, s.failRead(ctx, fault)
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return nil, merry.Prepend(eventlog.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// failRead returns the error of a read with a fault; a held read that is
// released has none.
func (s *Service) failRead(ctx context.Context, fault Fault) error {
	switch fault {
	case FaultGarbage:
		return fmt.Errorf("%w: %w", eventlog.ErrUnavailable, ErrGarbage)
	case FaultHold:
		return s.hold(ctx, eventlog.ErrUnavailable)
	default:
		return merry.Prepend(eventlog.ErrUnavailable, "outage")
	}
}

func (s *Service) readNow(name string, from int64, limit int) (*platform.ReadResponse, <-chan struct{}, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := FaultNone
	if s.onRead != nil {
		fault = s.onRead(name, from)
	}
	st := s.streamLocked(name)
	first := min(max(from, st.oldest), st.next())
	records := st.records[first-st.oldest:]
	records = records[:min(len(records), limit)]
	page := &platform.ReadResponse{
		Oldest:      st.oldest,
		Next:        st.next(),
		FirstOffset: first,
		Records:     append([]json.RawMessage(nil), records...),
	}
	return page, st.changed, fault
}

func (s *Service) streamLocked(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) next() int64 { return st.oldest + int64(len(st.records)) }
