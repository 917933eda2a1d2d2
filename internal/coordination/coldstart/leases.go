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

// Tick takes, renews and gives up leases; all records of one tick go out in one
// append. It also brings the marks of all servers up to date.
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

// loadWarmth takes over the spread mark of a server. A server whose failure
// domain is out will be cold when the failure domain returns.
func (p *Policy) loadWarmth(index *document.Index, backend *backends.Backend, server *backends.Snapshot) {
	if entry, _, ok := p.config.Gossip.Get(kindWarmth, server.Server.ID); ok {
		server.Warmth = decodeWarmth(entry.Value)
		backend.SetWarmth(server.Warmth)
	}
	if server.Warm() && index.DomainOut(server.Server.FailureDomain) {
		p.publishWarmth(server, false, "failure domain is taken out")
	}
}

// leaseDue returns the record that should be appended about a server now.
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

// minClaimInterval is the shortest time between two claims of one server.
const minClaimInterval = 3 * time.Second

// tryClaimLocked reports whether the last claim of a server had time to be
// read back.
func (p *Policy) tryClaimLocked(server string, now time.Time) bool {
	last, claimed := p.claimedAt[server]
	if claimed && now.Sub(last) < minClaimInterval {
		return false
	}
	p.claimedAt[server] = now
	return true
}

// preferredHolder returns the entry instance that should hold the lease on a server, by
// rendezvous hashing (Thaler and Ravishankar, 1998). Instances that disagree
// do no harm, since the log decides.
func preferredHolder(entryIDs []string, server string) string {
	if len(entryIDs) == 0 {
		return ""
	}
	return slices.MaxFunc(entryIDs, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a+"/"+server), xxhash.Sum64String(b+"/"+server)), cmp.Compare(a, b))
	})
}

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
	// Whether an append took effect is learned by reading it back.
	if _, err := p.config.Log.Append(ctx, platform.StreamLeases, raws); err != nil {
		failedLeaseOps.Add(1)
	}
}

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
