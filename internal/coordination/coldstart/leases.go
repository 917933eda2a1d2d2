package coldstart

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/state/backends"
)

// appendTimeout bounds one append of leases.
const appendTimeout = 2 * time.Second

// Tick claims, renews and releases leases; all records of one tick are written in
// one append. It also updates the warmth of all servers.
func (p *Policy) Tick(ctx context.Context) {
	index := p.config.Index()
	if index == nil {
		return
	}
	entryIDs := p.config.Members.EntryIDs()
	servers := p.config.Table.All()
	var due []records.Lease
	for _, backend := range servers {
		server := backend.Snapshot()
		p.loadWarmth(index, backend, &server)
		if record, ok := p.leaseDue(index, &server, entryIDs); ok {
			due = append(due, record)
		}
	}
	p.prune()
	p.append(ctx, due)
}

// loadWarmth loads the gossiped warmth of a server. A warm server whose failure
// domain is taken out is marked as cold, since it will be cold when the failure
// domain returns.
func (p *Policy) loadWarmth(index *document.Index, backend *backends.Backend, server *backends.Snapshot) {
	if entry, _, ok := p.config.Gossip.Get(kindWarmth, server.Server.ID); ok {
		server.Warmth = decodeWarmth(entry.Value)
		backend.SetWarmth(server.Warmth)
	}
	if server.Warm() && index.DomainOut(server.Server.FailureDomain) {
		p.publishWarmth(server, false, "failure domain is taken out")
	}
}

// leaseDue returns the lease record that is due for a server, and false if there
// is none.
func (p *Policy) leaseDue(index *document.Index, server *backends.Snapshot, entryIDs []string) (records.Lease, bool) {
	now := time.Now()
	id := server.Server.ID
	limit := limitOf(index, &server.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.grantor
	if p.leaving || limit == nil || server.Warm() {
		return g.releaseLease(id, now)
	}
	if g.renewalDue(id, now) {
		return g.claimLease(id, now), true
	}
	current, exists := g.leases.current[id]
	holderAlive := exists && !current.released && slices.Contains(entryIDs, current.holder.instance)
	ownEarlierRun := exists && current.holder.instance == g.self.instance && current.holder != g.self
	ownUncertain := exists && current.uncertain && current.holder == g.self
	if holderAlive && !ownEarlierRun && !ownUncertain {
		return records.Lease{}, false
	}
	if preferredHolder(entryIDs, id) != g.self.instance || !p.tryClaimLocked(id, now) {
		return records.Lease{}, false
	}
	return g.claimLease(id, now), true
}

// minClaimInterval is the minimum time between two claims of one server, so that
// the first one can be read back.
const minClaimInterval = 3 * time.Second

// tryClaimLocked reports whether this instance may claim a server now, and
// records the time of the claim if so.
func (p *Policy) tryClaimLocked(server string, now time.Time) bool {
	last, claimed := p.claimedAt[server]
	if claimed && now.Sub(last) < minClaimInterval {
		return false
	}
	p.claimedAt[server] = now
	return true
}

// preferredHolder returns the entry instance that should hold the lease on a
// server, by rendezvous hashing (Thaler and Ravishankar, 1998). Instances may
// disagree safely, since the log decides which lease is in force.
func preferredHolder(entryIDs []string, server string) string {
	if len(entryIDs) == 0 {
		return ""
	}
	return slices.MaxFunc(entryIDs, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a+"/"+server), xxhash.Sum64String(b+"/"+server)), cmp.Compare(a, b))
	})
}

// append appends lease records to the leases stream.
func (p *Policy) append(ctx context.Context, due []records.Lease) {
	if len(due) == 0 {
		return
	}
	raws, err := encodeRecords(due)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	leaseAppends.Add(1)
	// The result of an append shows when the stream is read back.
	if _, err := p.config.Log.Append(ctx, platform.StreamLeases, raws); err != nil {
		failedLeaseOps.Add(1)
	}
}

// prune removes expired state and updates the gauge of held leases.
func (p *Policy) prune() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantor.prune(now)
	held := 0
	for server := range p.grantor.leases.current {
		if p.grantor.leaseValid(server, now) {
			held++
		}
	}
	leasesHeld.Set(int64(held))
	for server, until := range p.backoffUntil {
		if now.After(until) {
			delete(p.backoffUntil, server)
		}
	}
}
