package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"medlarslip/internal/state/clientmemory"
)

// bodyTimeout bounds the time to read the body. It allows for a slow client
// on a lossy link.
const bodyTimeout = 10 * time.Second

// readBody reads the whole body into memory, once, so that the request can be
// retried. A limit of 0 bytes sets no bound. What has been read is discarded if the
// body is refused.
func (r *request) readBody(w http.ResponseWriter, limit int64) *refusal {
	if r.bodyRead {
		return tooLarge(r.body.size, limit)
	}
	if r.http.Body == nil || r.http.Body == http.NoBody {
		return nil
	}
	reader := io.Reader(r.http.Body)
	if limit > 0 {
		if r.http.ContentLength > limit {
			r.discardBody(w)
			return &refuseTooLarge
		}
		reader = http.MaxBytesReader(w, r.http.Body, limit)
	}
	control := http.NewResponseController(w)
	// A connection without deadlines is bounded by its idle timeout.
	_ = control.SetReadDeadline(r.started.Add(bodyTimeout))
	err := r.memory.SetPhase(clientmemory.Body)
	if err == nil {
		err = r.body.read(reader, r.http.ContentLength, r.memory)
	}
	// An eviction makes the read fail, or is known by now.
	if evicted := r.memory.SetPhase(clientmemory.Running); evicted != nil {
		err = evicted
	}
	if err != nil {
		r.releaseBody()
		r.endUnread(w, err)
		return bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	r.bodyRead = true
	return nil
}

func (r *request) releaseBody() { r.body.release(r.memory, len(r.tried) == 0) }

func (r *request) release() {
	r.releaseBody()
	r.memory.Shrink(r.keptBytes)
	if r.counted {
		r.memory.Shrink(clientmemory.RequestBytes)
	}
}

// endUnread makes the connection end after the refusal of a body that was not read to its
// end, and bounds how long the server reads the rest, so that the client can read the refusal.
func (r *request) endUnread(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	until := time.Now().Add(discardTime)
	switch {
	case errors.Is(err, clientmemory.ErrFull), errors.Is(err, clientmemory.ErrAddressFull):
		r.discardBody(w)
	case errors.Is(err, clientmemory.ErrEvicted):
		// The client sends nothing.
		until = time.Unix(1, 0)
	}
	_ = http.NewResponseController(w).SetReadDeadline(until)
}

func tooLarge(size, limit int64) *refusal {
	if limit > 0 && size > limit {
		return &refuseTooLarge
	}
	return nil
}

const (
	// discardBytes and discardTime bound how much of a body that is too large
	// is read and discarded. TCP resets a connection that is closed with unread
	// bytes, and the client could then not read the refusal.
	discardBytes = 1 << 20
	discardTime  = time.Second
)

func (r *request) discardBody(w http.ResponseWriter) {
	// A connection without deadlines is bounded by its idle timeout.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	// A failed read leaves nothing to discard.
	_, _ = io.CopyN(io.Discard, r.http.Body, discardBytes)
}

func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, clientmemory.ErrEvicted):
		return &refuseEvicted
	case errors.Is(err, clientmemory.ErrFull), errors.Is(err, clientmemory.ErrAddressFull):
		return &refuseMemory
	case errors.As(err, &tooLarge):
		return &refuseTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return &refuseBodyTimeout
	default:
		return &refuseBody
	}
}
