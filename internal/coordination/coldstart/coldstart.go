// Package coldstart bounds what the whole fleet sends to a backend server that
// has just started.
package coldstart

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/state/backends"
)

// Policy divides the limit of a cold server among the entry instances. Which
// instances get the slots follows from rendezvous hashing (Thaler and
// Ravishankar, 1998), so that instances with the same list agree.
type Policy struct {
	self    string
	entries func() []string
}

// New returns the policy of the instance self; entries lists the IDs of the
// entry instances that are live.
func New(self string, entries func() []string) *Policy {
	return &Policy{self: self, entries: entries}
}

// Bound returns how many calls this instance may have in flight to the
// server; negative where the server is warm.
func (p *Policy) Bound(index *document.Index, server *backends.Snapshot) int {
	limit := limitOf(index, server)
	if limit == nil || server.Answered >= limit.WarmAfterRequests {
		return -1
	}
	return share(p.entries(), p.self, server.Server.ID, limit.MaxInFlight)
}

// limitOf returns the lowest limit of what the server serves, or nil.
func limitOf(index *document.Index, server *backends.Snapshot) *document.ColdLimit {
	var lowest *document.ColdLimit
	for _, target := range server.Server.Serves {
		if model := index.ModelOf(target); model != nil {
			target = model.Name
		}
		limit := index.ColdLimit(target)
		if limit != nil && (lowest == nil || limit.MaxInFlight < lowest.MaxInFlight) {
			lowest = limit
		}
	}
	return lowest
}

// share returns how many of the slots of a server fall to one instance.
func share(entryIDs []string, self, serverID string, slots int) int {
	if len(entryIDs) == 0 {
		return 0
	}
	ranked := slices.SortedFunc(slices.Values(entryIDs), func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"/"+serverID), xxhash.Sum64String(b+"/"+serverID))
	})
	rank := slices.Index(ranked, self)
	if rank < 0 {
		return 0
	}
	own := slots / len(ranked)
	if rank < slots%len(ranked) {
		own++
	}
	return own
}
