// Package logservice is a stand-in for the platform's log service: in-memory
// streams with offsets, limited retention and fault injection.
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

// Fault is the failure to inject into one call.
type Fault int

const (
	// FaultNone serves the call normally.
	FaultNone Fault = iota
	// FaultRefuse fails the call without effect.
	FaultRefuse
	// FaultLoseAnswer applies an append and loses its answer.
	FaultLoseAnswer
	// FaultLoseRequest loses an append before it takes effect. The writer gets
	// eventlog.ErrAppendUnknown, as if only the answer was lost.
	FaultLoseRequest
	// FaultDuplicate applies an append twice.
	FaultDuplicate
	// FaultGarbage applies a call and returns an answer that can't be decoded.
	FaultGarbage
	// FaultServerError fails a call inside the service without effect. The
	// caller can't tell whether it took effect.
	FaultServerError
	// FaultHold applies a call and holds its answer until Release is called or
	// the caller's context ends.
	FaultHold
	// FaultDelay applies an append only after DelayBy, when its writer has
	// already received an error that says that the outcome is unknown.
	FaultDelay
)

// ErrGarbage marks the errors for which an HTTP server of this service sends a
// body that can't be decoded.
var ErrGarbage = errors.New("garbage")

// Service is an in-memory log service. It implements eventlog.Log.
type Service struct {
	// DelayBy is the delay of FaultDelay; set it before the first append.
	DelayBy time.Duration

	mu         sync.Mutex
	streams    map[string]*stream
	maxRecords int
	// onAppend and onRead choose the fault of each call; nil injects none.
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

// New returns an empty service that retains the last keep records of each
// stream; 0 retains all.
func New(keep int) *Service {
	return &Service{streams: map[string]*stream{}, maxRecords: keep, released: make(chan struct{})}
}

// OnAppend sets the function that chooses the fault of each append; nil
// injects none.
func (s *Service) OnAppend(fault func(stream string, records []json.RawMessage) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAppend = fault
}

// OnRead sets the function that chooses the fault of each read; nil injects
// none.
func (s *Service) OnRead(fault func(stream string, from int64) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRead = fault
}

// SetOutage makes the service refuse all calls if down is true, and removes the
// functions set by OnAppend and OnRead if it is false.
func (s *Service) SetOutage(down bool) {
	if !down {
		s.OnAppend(nil)
		s.OnRead(nil)
		return
	}
	s.OnAppend(func(string, []json.RawMessage) Fault { return FaultRefuse })
	s.OnRead(func(string, int64) Fault { return FaultRefuse })
}

// Appends returns the number of appends that took effect; a duplicated one
// counts twice.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Release completes all calls that FaultHold holds, and those it would hold
// later. It must be called once at most.
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

// appendNow chooses the fault of an append and applies the append accordingly.
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

// Trim removes all records of a stream below an offset, as limited retention
// does.
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

// failRead returns the error of a read with a fault, or nil if the read was
// held and then released.
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
