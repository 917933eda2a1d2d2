package coldstart

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/state/backends"
)

const kindWarmth = gossip.KindWarmth

// Peer methods of the holder of a lease.
const (
	MethodAcquire = "cold.acquire"
	MethodRelease = "cold.release"
)

// AcquireRequest requests a slot from the holder.
type AcquireRequest struct {
	Server string `json:"server"`
}

// AcquireAnswer is the answer to an AcquireRequest. Slot is nil if no slot was
// granted.
type AcquireAnswer struct {
	Slot *Slot `json:"slot,omitempty"`
	// BoundReached is true if all slots on the server are in use.
	BoundReached bool `json:"bound_reached,omitempty"`
}

// ReleaseRequest releases a slot at the holder and reports the outcome of its
// call.
type ReleaseRequest struct {
	Slot       Slot  `json:"slot"`
	TookMicros int64 `json:"took_us"`
	Good       bool  `json:"good"`
	// Unused is true if no call was sent under the slot.
	Unused bool `json:"unused,omitempty"`
}

// requestSlot requests a slot from the holder of the lease and checks it.
func (p *Policy) requestSlot(ctx context.Context, index *document.Index, server *backends.Snapshot) (Slot, error) {
	requestedAt := time.Now()
	p.mu.Lock()
	holder, ok := p.grantor.holder(server.Server.ID)
	p.mu.Unlock()
	if !ok {
		return Slot{}, merry.Prepend(ErrNoLease, server.Server.ID)
	}
	slot, err := p.requestSlotFrom(ctx, holder.instance, index, server)
	if err != nil {
		return Slot{}, err
	}
	p.mu.Lock()
	err = p.grantor.checkSlot(slot, requestedAt, time.Now())
	p.mu.Unlock()
	if err != nil {
		p.releaseSlot(&ReleaseRequest{Slot: slot, Unused: true})
	}
	return slot, err
}

// requestSlotFrom requests a slot from the given holder, which may be this
// instance.
func (p *Policy) requestSlotFrom(ctx context.Context, holder string, index *document.Index, server *backends.Snapshot) (Slot, error) {
	if holder == p.config.Instance {
		return p.grant(index, server)
	}
	address, ok := p.config.Members.ControlAddress(holder)
	if !ok {
		return Slot{}, merry.Prependf(ErrNoLease, "holder %s of %s is not known", holder, server.Server.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var answer AcquireAnswer
	err := p.config.Peers.Call(ctx, address, MethodAcquire, AcquireRequest{Server: server.Server.ID}, &answer)
	switch {
	case err != nil:
		return Slot{}, merry.Prependf(ErrNoLease, "%s: %v", server.Server.ID, err)
	case answer.BoundReached:
		return Slot{}, merry.Prepend(ErrBoundReached, server.Server.ID)
	case answer.Slot == nil:
		return Slot{}, merry.Prepend(ErrNoLease, server.Server.ID)
	default:
		return *answer.Slot, nil
	}
}

// grant grants a slot as the holder of the lease.
func (p *Policy) grant(index *document.Index, server *backends.Snapshot) (Slot, error) {
	limit := limitOf(index, &server.Server)
	if limit == nil {
		return Slot{}, merry.Prependf(ErrNoLease, "%s has no cold limit", server.Server.ID)
	}
	run := serverRun{server.Server.Incarnation, server.Load.Started}
	p.mu.Lock()
	defer p.mu.Unlock()
	slot, err := p.grantor.grant(server.Server.ID, run, limit, time.Now())
	if err == nil {
		grantedSlots.Add(1)
	}
	return slot, err
}

// HandleAcquire handles an AcquireRequest of another instance.
func (p *Policy) HandleAcquire(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request AcquireRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	backend, index := p.config.Table.Get(request.Server), p.config.Index()
	if backend == nil || index == nil {
		return AcquireAnswer{}, nil
	}
	server := backend.Snapshot()
	slot, err := p.grant(index, &server)
	if err != nil {
		return AcquireAnswer{BoundReached: errors.Is(err, ErrBoundReached)}, nil
	}
	return AcquireAnswer{Slot: &slot}, nil
}

// HandleRelease handles a ReleaseRequest of another instance.
func (p *Policy) HandleRelease(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request ReleaseRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	p.slotReleased(&request)
	return struct{}{}, nil
}

// releaseSlot releases a slot at its holder, without waiting for the holder's
// answer. If that fails, the holder counts the slot as in use until it ends.
func (p *Policy) releaseSlot(request *ReleaseRequest) {
	p.mu.Lock()
	holder, ok := p.grantor.holder(request.Slot.Server)
	p.mu.Unlock()
	if !ok {
		return
	}
	if holder.instance == p.config.Instance {
		p.slotReleased(request)
		return
	}
	address, ok := p.config.Members.ControlAddress(holder.instance)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), slotUseTimeout)
		defer cancel()
		_ = p.config.Peers.Call(ctx, address, MethodRelease, request, nil)
	}()
}

// slotReleased records a released slot and the outcome of its call as the holder.
func (p *Policy) slotReleased(request *ReleaseRequest) {
	p.mu.Lock()
	warm := p.grantor.slotReleased(request)
	p.mu.Unlock()
	if !warm {
		return
	}
	if backend := p.config.Table.Get(request.Slot.Server); backend != nil {
		server := backend.Snapshot()
		if !server.Warm() {
			p.publishWarmth(&server, true, "answers came well up to full load")
		}
	}
}

const (
	// badCallLimit is the number of consecutive failed or slow calls after
	// which a warm server counts as cold again.
	badCallLimit = 3
	// markColdInterval is the minimum time between two servers that one
	// instance marks as cold. It limits the damage done by an instance whose
	// network is faulty.
	markColdInterval = 2 * time.Second
	// An answer of a warm server counts as slow above both slowLatencyFactor
	// times the mean latency of good answers and minSlowLatency.
	slowLatencyFactor = 8
	minSlowLatency    = time.Second
)

// observe records the outcome of a call to a warm server, and marks the server as
// cold after several bad calls in a row.
func (p *Policy) observe(id string, took time.Duration, good bool) {
	backend := p.config.Table.Get(id)
	if backend == nil {
		return
	}
	server := backend.Snapshot()
	slow := server.Latency > 0 && took > max(slowLatencyFactor*server.Latency, minSlowLatency)
	p.mu.Lock()
	if good && !slow {
		delete(p.badCalls, id)
		p.mu.Unlock()
		return
	}
	p.badCalls[id]++
	markCold := p.badCalls[id] >= badCallLimit && server.Warm() && p.mayMarkColdLocked()
	if markCold {
		delete(p.badCalls, id)
		p.markedColdAt = time.Now()
	}
	p.mu.Unlock()
	if markCold {
		p.publishWarmth(&server, false, "answers turned bad or slow")
	}
}

// mayMarkColdLocked reports whether this instance may mark a server as cold. It
// may not if more than one server and more than half of all look bad, since the
// fault is then likely on its own side.
func (p *Policy) mayMarkColdLocked() bool {
	bad := 0
	for _, count := range p.badCalls {
		if count >= badCallLimit {
			bad++
		}
	}
	majority := 2*bad > len(p.config.Table.All())
	return !(majority && bad > 1) && time.Since(p.markedColdAt) >= markColdInterval
}
