package gateway

import (
	"cmp"
	"errors"
	"io"
	"sync/atomic"

	"medlarslip/internal/state/clientmemory"
)

const (
	// maxWholeBody bounds the size in bytes of a response body that is buffered
	// whole before any of it is sent to the client.
	maxWholeBody = 1 << 20
	// smallBody is the size in bytes up to which a body needs no share of the buffers.
	smallBody = 64 << 10
	// maxBuffered bounds the bytes of all larger bodies that are buffered at the same
	// time.
	maxBuffered = 16 << 20
)

var (
	errBodyTooLong = errors.New("body of the response is too long to be buffered")
	// errBuffersFull is no failure of the server: this instance is short of memory.
	errBuffersFull = errors.New("responses and clients hold as much memory as the limits allow")
)

// bodyBuffers bounds the memory for response bodies, also if faulty servers send endless ones
// to many requests at the same time.
type bodyBuffers struct{ reserved atomic.Int64 }

// readWhole reads a body of at most maxWholeBody bytes into buffers of fixed sizes, and accounts
// for each as memory of the client, which may not take it, before it is filled. release must be
// called once the body is no longer needed.
func (b *bodyBuffers) readWhole(source io.Reader, memory *clientmemory.Holding) (body [][]byte, release func(), err error) {
	var held, reserved int64
	release = func() {
		b.reserved.Add(-reserved)
		memory.Shrink(held)
	}
	size := 0
	// The memory of the first buffer is part of that of a running request.
	piece := make([]byte, 0, clientmemory.FirstResponseBytes)
	for {
		n, err := source.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		size += n
		switch {
		case errors.Is(err, io.EOF) && size <= maxWholeBody:
			return append(body, piece), release, nil
		case err == nil && size <= maxWholeBody:
		default:
			release()
			return nil, nil, cmp.Or(bodyLengthError(size), err)
		}
		if size > smallBody && reserved == 0 {
			reserved = maxWholeBody
			if b.reserved.Add(reserved) > maxBuffered {
				release()
				return nil, nil, errBuffersFull
			}
		}
		if len(piece) < cap(piece) {
			continue
		}
		if memory.Grow(pieceBytes) != nil {
			release()
			return nil, nil, errBuffersFull
		}
		held += pieceBytes
		body = append(body, piece)
		piece = make([]byte, 0, pieceBytes)
	}
}

// bodyLengthError returns errBodyTooLong for a size that exceeds the bound.
func bodyLengthError(size int) error {
	if size > maxWholeBody {
		return errBodyTooLong
	}
	return nil
}
