package attempt

import "github.com/ansel1/merry/v2"

// ErrMemory means that the answer of an engine or a plain service does not fit into the memory for callers. The call
// may have run.
var ErrMemory = merry.Sentinel("the answer does not fit into the memory that this instance has for callers; read answers without delay, and ask again where that is harmless")

// ErrBodyMemory means that the copy of a request for an engine does not fit into that memory. Nothing was sent.
var ErrBodyMemory = merry.Sentinel("the copy of the request for an engine does not fit into the memory that this instance has for callers; send it again later, or to another entry instance")

// Memory accounts for the memory that a request makes this instance hold.
type Memory interface {
	// Grow accounts for n more bytes. After an error, nothing has changed.
	Grow(n int64) error
	// Shrink releases n bytes.
	Shrink(n int64)
}

// Held is the memory that one attempt holds. It belongs to one goroutine. A nil Held is empty.
type Held struct {
	memory Memory
	bytes  int64
}

// NewHeld returns the account of an attempt; a nil memory sets no limit.
func NewHeld(memory Memory) *Held { return &Held{memory: memory} }

// Grow implements Memory.
func (h *Held) Grow(n int64) error {
	if h.memory == nil {
		return nil
	}
	if err := h.memory.Grow(n); err != nil {
		return err
	}
	h.bytes += n
	return nil
}

// Shrink implements Memory.
func (h *Held) Shrink(n int64) {
	if h.memory == nil {
		return
	}
	h.memory.Shrink(n)
	h.bytes -= n
}

// Release releases all that the attempt holds.
func (h *Held) Release() {
	if h != nil {
		h.Shrink(h.bytes)
	}
}
