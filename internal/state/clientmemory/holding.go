package clientmemory

import (
	"context"
	"errors"
	"time"
)

// headerFactor is the memory that a header occupies as a multiple of the bytes received:
// the text, and the decoded fields.
const headerFactor = 2

// Holding is the memory that one connection holds. A nil Holding has no limit.
type Holding struct {
	group   *Group
	shard   *shard
	address string
	evict   func(Phase)
	// exempt is true for a connection that the limit of the group does not count.
	exempt bool
	// The lock of the shard guards the fields below.
	phase    Phase
	bytes    int64
	progress time.Time
	gone     bool
	// kept is what remains of the messages of a handshake, and header of the largest header.
	kept, header int64
	// waiting is true between two requests of a connection.
	waiting bool
	// closed is true once the connection no longer counts for the limit of the group.
	closed bool
	// evicted is true once the holding was evicted; it is then no longer accounted for.
	evicted bool
}

// Grow accounts for n more bytes. At the limit it evicts stalled connections first, then
// those of the address that holds most, if that is more than the holding's own address.
// Otherwise it returns an error, and nothing has changed.
func (h *Holding) Grow(n int64) error {
	if h == nil {
		return nil
	}
	return h.countRefusal(h.grow(n, h.group.budget.limits))
}

// growRunning is Grow for a running request, which leaves a part of the limits to others.
func (h *Holding) growRunning(n int64) error {
	limits := func() Limits {
		l := h.group.budget.limits()
		return Limits{Bytes: l.Bytes - l.Bytes/reserveDivisor, AddressBytes: l.AddressBytes - l.AddressBytes/reserveDivisor}
	}
	return h.countRefusal(h.grow(n, limits))
}

// countRefusal counts an error that refuses a client.
func (h *Holding) countRefusal(err error) error {
	if err != nil && !errors.Is(err, ErrEvicted) {
		h.group.budget.refused.Add(1)
	}
	return err
}

func (h *Holding) grow(n int64, limits func() Limits) error {
	b := h.group.budget
	for {
		own, err := h.take(n, limits())
		if err == nil || errors.Is(err, ErrEvicted) {
			return err
		}
		victim := b.selectHolding(h, own+n, errors.Is(err, ErrAddressFull))
		if victim == nil {
			return err
		}
		if phase, ok := victim.markEvicted(); ok {
			victim.evict(phase)
			if phase != Body {
				victim.Close()
			}
		}
	}
}

// BeginRequest accounts for RequestBytes, once the header is whole. What arrived with the header
// beyond its size is in the buffer of the connection, and no longer counts as header.
func (h *Holding) BeginRequest(headerBytes int64) error {
	if h == nil {
		return nil
	}
	h.shard.mu.Lock()
	header := headerBytes * headerFactor
	if h.group.keepsHeaders {
		h.header, header = max(h.header, header), 0
	}
	h.add(-max(h.bytes-h.idleBytes()-header, 0))
	h.shard.mu.Unlock()
	return h.Grow(RequestBytes)
}

// take adds n bytes within the limits. It returns the bytes of the holding's address.
func (h *Holding) take(n int64, limits Limits) (own int64, err error) {
	b := h.group.budget
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.gone {
		return 0, ErrEvicted
	}
	own = h.shard.addresses[h.address].bytes
	if limits.AddressBytes > 0 && own+n > limits.AddressBytes && b.connected.Load() > 1 {
		return own, ErrAddressFull
	}
	if b.used.Add(n) > limits.Bytes && limits.Bytes > 0 {
		b.used.Add(-n)
		return own, ErrFull
	}
	h.bytes += n
	h.shard.addresses[h.address].bytes += n
	h.progress = b.now()
	return own + n, nil
}

// add changes the bytes of the holding. The caller holds the lock.
func (h *Holding) add(n int64) {
	if h.gone {
		return
	}
	h.bytes += n
	h.shard.addresses[h.address].bytes += n
	h.group.budget.used.Add(n)
}

// Shrink releases n bytes.
func (h *Holding) Shrink(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.add(-min(n, h.bytes))
}

// Received records that n bytes have arrived, and accounts for those of a header.
func (h *Holding) Received(n int) error {
	h.shard.mu.Lock()
	header := h.phase == Idle
	h.progress = h.group.budget.now()
	h.waiting = false
	h.shard.mu.Unlock()
	if !header {
		return nil
	}
	return h.Grow(int64(n) * headerFactor)
}

// KeepReceived makes what was received so far count until the connection ends, since the
// buffers of a handshake remain after it.
func (h *Holding) KeepReceived() {
	if h == nil {
		return
	}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.kept = max(h.bytes-h.idleBytes(), 0)
}

// idleBytes returns what the connection holds between two requests. The caller holds the lock.
func (h *Holding) idleBytes() int64 { return h.group.connectionBytes() + h.kept + h.header }

// Short reports whether little of the memory for clients is left.
func (h *Holding) Short() bool { return h != nil && h.group.budget.Short() }

// Progress records that the client has taken bytes of its response.
func (h *Holding) Progress() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.progress = h.group.budget.now()
}

// SetPhase changes the phase. A connection that becomes idle holds no more than its
// buffers, and those of its largest header if they are kept. The error is ErrEvicted if the holding
// was evicted before.
func (h *Holding) SetPhase(p Phase) error {
	if h == nil {
		return nil
	}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.gone {
		return ErrEvicted
	}
	h.waiting = p == Idle
	if p == Idle {
		h.add(h.idleBytes() - h.bytes)
	}
	if p != h.phase {
		h.phase = p
		h.progress = h.group.budget.now()
	}
	return nil
}

// EndWriting ends the phase Writing, unless the phase has changed meanwhile.
func (h *Holding) EndWriting() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.phase == Writing {
		h.phase = Running
	}
}

// BeginWriting changes from the phase Running to Writing.
func (h *Holding) BeginWriting() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.phase == Running {
		h.phase = Writing
		h.progress = h.group.budget.now()
	}
}

// Evicted reports whether the holding was evicted.
func (h *Holding) Evicted() bool {
	if h == nil {
		return false
	}
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	return h.evicted
}

// Close releases all that the holding accounts for, once the connection is closed.
func (h *Holding) Close() {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.remove()
	if !h.closed && !h.exempt {
		h.group.open.Add(-1)
	}
	h.closed = true
}

// remove ends the accounting. The caller holds the lock.
func (h *Holding) remove() {
	if h.gone {
		return
	}
	h.add(-h.bytes)
	h.gone = true
	a := h.shard.addresses[h.address]
	delete(a.holdings, h)
	if !h.exempt {
		if a.connections[h.group]--; a.connections[h.group] == 0 {
			delete(a.connections, h.group)
		}
	}
	if len(a.holdings) == 0 {
		delete(h.shard.addresses, h.address)
		h.group.budget.connected.Add(-1)
	}
}

type contextKey struct{}

// NewContext returns a context that carries the holding of a connection.
func NewContext(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holding of the connection that a request came on; nil if there is
// none.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(contextKey{}).(*Holding)
	return h
}
