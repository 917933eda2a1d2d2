// Package bodybuffer reads bodies of messages into buffers that are accounted for as bytes arrive.
package bodybuffer

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Memory accounts for memory. Its methods are those of package clientmemory.
type Memory interface {
	// Grow accounts for n more bytes, or returns an error.
	Grow(n int64) error
	// Shrink releases n bytes.
	Shrink(n int64)
}

// ErrMemory is the kind of error if a body does not fit into the memory.
var ErrMemory = errors.New("there is no memory for the body")

// MinBytes is the size of the first buffer of a body.
const MinBytes = 2 << 10

// Read reads a body of at most limit bytes. The buffer grows as bytes arrive; both buffers are accounted for while
// one is copied to the other, and the last one when Read returns without an error. After an error, the memory
// still accounts for what was read. A length that is not negative is that of the whole body.
func Read(source io.Reader, length, limit int, memory Memory) ([]byte, error) {
	if length > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	var body []byte
	var first [512]byte
	for {
		space := body[len(body):cap(body)]
		if len(space) == 0 {
			space = first[:]
		}
		n, err := source.Read(space)
		if len(body)+n > limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		if n > 0 && &space[0] == &first[0] {
			former := cap(body)
			size := nextSize(former, length)
			if full := memory.Grow(int64(size)); full != nil {
				return nil, fmt.Errorf("%w: %w", ErrMemory, full)
			}
			grown := append(make([]byte, 0, size), body...)
			memory.Shrink(int64(former))
			copy(grown[len(body):cap(grown)], first[:n])
			body = grown
		}
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that follows one of a former size. Without a length it doubles. With one
// the sizes are the length divided by powers of 4, so that the last buffer has the length, and the one before it,
// which is held at the same time, only a quarter of it.
func nextSize(former, length int) int {
	size := length
	for size/4 > former && size/4 >= MinBytes {
		size /= 4
	}
	if size <= former {
		return max(2*former, MinBytes)
	}
	return size
}
