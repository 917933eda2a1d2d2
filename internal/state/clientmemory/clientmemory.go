// Package clientmemory accounts for the memory that clients make a process hold:
// connections with their buffers, headers, bodies in progress, and responses that are not
// read. At the limit it decides whose memory is reclaimed. It does no I/O.
package clientmemory

import (
	"errors"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing. It decides whether the connection may be evicted.
type Phase int

const (
	// Idle connections wait for the next request or receive its header.
	Idle Phase = iota
	// Body connections receive the body of a request.
	Body
	// Running connections have a request that may have been sent to a server. They are
	// not evicted until the response is being written.
	Running
	// Writing connections have a response that the client does not take.
	Writing
	phases
)

// String returns the name of the phase for logs and metrics.
func (p Phase) String() string { return [...]string{"idle", "body", "running", "response"}[p] }

// Errors of holdings that may not grow.
var (
	// ErrFull: the limit is reached, and nothing may be evicted for the holding.
	ErrFull = errors.New("clients hold as much memory as the limit allows")
	// ErrAddressFull: the client's address uses its share.
	ErrAddressFull = errors.New("the address of the client uses its share of memory or connections")
	// ErrEvicted: the holding was evicted.
	ErrEvicted = errors.New("the connection was evicted, since clients hold too much memory")
)

// IsRefusal reports whether an error is one of this package.
func IsRefusal(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, ErrAddressFull) || errors.Is(err, ErrEvicted)
}

// StallTime is the time without progress after which a connection counts as stalled. It
// exceeds the first retransmission timeouts of TCP, so that a lost packet is no stall.
const StallTime = time.Second

// ConnectionBytes is the memory that a connection holds without a request: two buffers of
// 4 KiB and the stack of its goroutine.
const ConnectionBytes = 16 << 10

const (
	// RequestBytes is the memory that a running request holds besides its header and bodies:
	// copies of the header, the stacks of its goroutines, 8 KiB of buffers of the connection
	// to a server, and the first buffer of the response.
	RequestBytes = 16 << 10
	// FirstResponseBytes is the size of the first buffer of a response.
	FirstResponseBytes = 4 << 10
)

const (
	// HandshakeBytes is the memory that a TLS handshake holds besides what ConnectionBytes and the
	// bytes received account for: keys, certificates and the buffers of records.
	HandshakeBytes = 16 << 10
	// TLSBytes is the memory that a TLS connection holds besides ConnectionBytes and the messages of its
	// handshake: 40 KiB for the buffer of records that arrive, 18 KiB for a record that is
	// written, and 14 KiB for keys, ciphers and the stack that the handshake has grown.
	TLSBytes = 72 << 10
	// TLSMessageBytes is the memory of a message of the handshake that arrives after it, of
	// which a connection may hold 24 KiB in a buffer that doubles.
	TLSMessageBytes = 48 << 10
)

// Limits are the limits of a Budget.
type Limits struct {
	// Bytes is the maximum of all connections together; 0 sets no maximum.
	Bytes int64
	// AddressBytes is the maximum of the connections of one client address while others are
	// connected; 0 sets no maximum.
	AddressBytes int64
}

// Budget accounts for the connections of all listeners of a process. It is safe for
// concurrent use.
type Budget struct {
	limits func() Limits
	now    func() time.Time
	used   atomic.Int64
	// connected is the number of addresses with a connection.
	connected atomic.Int64
	seed      maphash.Seed
	shards    [16]shard
	evicted   [phases]atomic.Int64
	refused   atomic.Int64
}

// shard holds the addresses with the same hash.
type shard struct {
	mu        sync.Mutex
	addresses map[string]*address
}

// address is what the connections from one address hold. The lock of its shard guards it.
type address struct {
	bytes    int64
	holdings map[*Holding]struct{}
	// connections is the number of connections that count for the limit of each group.
	connections map[*Group]int64
}

// New returns a budget. The limits are read for each decision.
func New(limits func() Limits, now func() time.Time) *Budget {
	b := &Budget{limits: limits, now: now, seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].addresses = map[string]*address{}
	}
	return b
}

// Used returns the bytes that clients hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// Evicted returns the number of connections that were evicted in a phase.
func (b *Budget) Evicted(p Phase) int64 { return b.evicted[p].Load() }

// Refused returns the number of connections and requests that were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Short reports whether little of the memory for clients is left.
func (b *Budget) Short() bool {
	limit := b.limits().Bytes
	return limit > 0 && b.used.Load() >= limit/4*3
}

// Group is the connections of one listener.
type Group struct {
	budget *Budget
	limit  func() int
	// exempt reports whether connections from an address are beside the limit; nil means none.
	exempt func(clientAddress string) bool
	// extra is what each connection holds besides ConnectionBytes.
	extra int64
	// keepsHeaders is true if the buffers of the largest header remain for the next request.
	keepsHeaders bool
	open         atomic.Int64
}

// NewGroup returns a group of at most limit() connections; 0 sets no maximum.
func (b *Budget) NewGroup(limit func() int) *Group { return &Group{budget: b, limit: limit} }

// Exempt makes the group count no connections from the addresses that the function reports. Their
// memory is accounted for.
func (g *Group) Exempt(function func(clientAddress string) bool) { g.exempt = function }

// AddBytes makes the group account for n more bytes for each connection.
func (g *Group) AddBytes(n int64) { g.extra += n }

// KeepHeaders makes the group account for the largest header of each connection until the connection
// ends. It is meant for a server that keeps the buffers of a header for the next request.
func (g *Group) KeepHeaders() { g.keepsHeaders = true }

// connectionBytes returns what a new connection holds.
func (g *Group) connectionBytes() int64 { return ConnectionBytes + g.extra }

// Open adds a connection. If it is evicted, evict is called with its phase, without a lock.
// In the phase Body it must make the reader of the body fail, in others close the
// connection. It may be called before Open returns. A caller that gives up after an error must call
// CountRefused, once.
func (g *Group) Open(clientAddress string, evict func(Phase)) (*Holding, error) {
	b := g.budget
	h := &Holding{group: g, address: clientAddress, evict: evict, progress: b.now()}
	h.shard = &b.shards[maphash.String(b.seed, clientAddress)%uint64(len(b.shards))]
	if err := g.takeConnection(h); err != nil {
		return nil, err
	}
	h.shard.mu.Lock()
	a := h.shard.addresses[clientAddress]
	if a == nil {
		a = &address{holdings: map[*Holding]struct{}{}, connections: map[*Group]int64{}}
		h.shard.addresses[clientAddress] = a
		b.connected.Add(1)
	}
	a.holdings[h] = struct{}{}
	if !h.exempt {
		a.connections[g]++
	}
	h.shard.mu.Unlock()
	if err := h.grow(g.connectionBytes(), b.limits); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// CountRefused counts a connection that was refused.
func (g *Group) CountRefused() { g.budget.refused.Add(1) }

// takeConnection counts a connection of the group, and evicts another one at the limit.
func (g *Group) takeConnection(h *Holding) error {
	if g.exempt != nil && g.exempt(h.address) {
		h.exempt = true
		return nil
	}
	for {
		limit := int64(g.limit())
		if g.open.Add(1) <= limit || limit <= 0 {
			return nil
		}
		g.open.Add(-1)
		victim, share := g.budget.selectConnection(h, limit)
		if victim == nil {
			return share
		}
		if phase, ok := victim.markEvicted(); ok {
			victim.evict(closing(phase))
			victim.Close()
		}
	}
}

// closing returns the phase to report for a connection that has to be closed. Only its
// closing frees a descriptor, so the reader of a body is not left to respond.
func closing(p Phase) Phase {
	if p == Body {
		return Idle
	}
	return p
}

// markEvicted ends the accounting of a holding that is to be evicted. It reports false if the
// holding may no longer be evicted.
func (h *Holding) markEvicted() (Phase, bool) {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.gone || h.phase == Running {
		return h.phase, false
	}
	h.remove()
	h.evicted = true
	h.group.budget.evicted[h.phase].Add(1)
	return h.phase, true
}
