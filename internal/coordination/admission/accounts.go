package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/coordination/buckets"
)

const (
	// window is the time over which the requests of an account are counted.
	window = windowBuckets * bucketTime
	// bucketTime is the resolution of the window.
	bucketTime    = 250 * time.Millisecond
	windowBuckets = 6
	// usualTime is the time constant with which the usual demand of an account follows its
	// demand.
	usualTime = time.Minute
	// refreshTime is the age from which the demand of the fleet is computed anew.
	refreshTime = 200 * time.Millisecond
	// reportLifetime is the age up to which a report of a peer counts: two lost datagrams
	// and a late one in a large fleet.
	reportLifetime = 3 * time.Second
	// MaxAccounts is the number of accounts in a report: those with most requests.
	MaxAccounts = 64
	// targetUse is the share of the slots of a service above which its capacity is short.
	targetUse = 0.9
	// leastServed is the least share of an account's requests that is not excess, relative to
	// that share over all accounts. The requirement is two fifths; the margin is for requests
	// that are refused for other reasons.
	leastServed = 0.5
	// chanceFactor is the number of standard deviations by which the count of an account
	// exceeds its expectation before it counts as demand: small accounts send few requests in
	// a window.
	chanceFactor = 1.5
)

// AccountsReport is what an instance reports to its peers about the requests of accounts. Accounts
// are named by hashes, so that a report is small.
type AccountsReport struct {
	// Own counts the requests that the sender received within the window.
	Own map[uint32]uint32 `cbor:"1,keyasint,omitempty"`
	// Fleet is the sum over the instances that report to the sender: the requests within the
	// window, and the usual number in tenths. In a large fleet only leaders send it.
	Fleet map[uint32][2]uint32 `cbor:"2,keyasint,omitempty"`
	// Members is the number of instances in Fleet.
	Members int `cbor:"3,keyasint,omitempty"`
	// Learned is for how many seconds the usual number has been learned.
	Learned int `cbor:"4,keyasint,omitempty"`
}

// AccountsOptions configures Accounts. All fields are required.
type AccountsOptions struct {
	Now func() time.Time
	// Enabled reports whether requests are counted.
	Enabled func() bool
	// Large reports whether the members of the fleet report to leaders, and Leads whether this
	// instance is one.
	Large, Leads func() bool
	// Share returns the share of the fleet that this instance is in contact with, 0 to 1; 0 if
	// it is not known yet.
	Share func() float64
}

// Accounts counts the requests of each client account and determines how far an account exceeds
// its share while capacity is short. It is safe for concurrent use.
type Accounts struct {
	opts    AccountsOptions
	started time.Time
	shards  [16]countShard
	demand  atomic.Pointer[demand]

	mu    sync.Mutex
	peers map[string]*peerCounts
	// usual is the usual number of requests within a window by account, and usualAt when it
	// was last updated.
	usual   map[uint32]float64
	usualAt time.Time
	// learnedBefore is for how long the usual demand had been learned when this instance took
	// it over from a peer, less its own age then.
	learnedBefore time.Duration
}

// countShard counts the requests of some accounts in buckets of time.
type countShard struct {
	mu     sync.Mutex
	counts buckets.Ring[map[uint32]uint32]
}

// peerCounts is the latest report of a peer.
type peerCounts struct {
	report     *AccountsReport
	receivedAt time.Time
}

// NewAccounts returns the counts of an instance that has just started.
func NewAccounts(opts AccountsOptions) *Accounts {
	return &Accounts{opts: opts, started: opts.Now(), peers: map[string]*peerCounts{}, usual: map[uint32]float64{}}
}

func accountKey(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

// Count counts a request of an account.
func (a *Accounts) Count(account string) {
	if !a.opts.Enabled() {
		return
	}
	key, now := accountKey(account), a.opts.Now()
	a.shards[key%uint32(len(a.shards))].count(key, now)
	// The usual demand is learned while requests arrive, not only while capacity is short.
	a.refreshed()
}

func (s *countShard) count(key uint32, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Advance(now, bucketTime, windowBuckets)
	bucket := s.counts.Back(0)
	if *bucket == nil {
		*bucket = map[uint32]uint32{}
	}
	(*bucket)[key]++
}

// own returns this instance's counts within the window.
func (a *Accounts) own(now time.Time) map[uint32]uint32 {
	counts := map[uint32]uint32{}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		s.counts.Advance(now, bucketTime, windowBuckets)
		for back := range windowBuckets {
			for key, count := range *s.counts.Back(back) {
				counts[key] += count
			}
		}
		s.mu.Unlock()
	}
	return counts
}

// Report returns the report for the next datagrams to peers; nil if requests are not counted.
func (a *Accounts) Report() *AccountsReport {
	if !a.opts.Enabled() {
		return nil
	}
	now := a.opts.Now()
	counts := a.own(now)
	own := largest(counts, func(count uint32) uint32 { return count })
	if a.opts.Large() && !a.opts.Leads() {
		return &AccountsReport{Own: own}
	}
	d := a.recent(now)
	if d == nil {
		d = a.refresh(counts, now)
	}
	fleet := make(map[uint32][2]uint32, len(d.accounts))
	for _, account := range d.accounts {
		fleet[account.account] = [2]uint32{uint32(math.Round(account.rate)), uint32(math.Round(10 * account.usual))}
	}
	return &AccountsReport{
		Own: own, Fleet: largest(fleet, func(v [2]uint32) uint32 { return 10*v[0] + v[1] }), Members: d.members, Learned: int(d.learned.Seconds()),
	}
}

// largest keeps the accounts with the largest values.
func largest[V any](values map[uint32]V, size func(V) uint32) map[uint32]V {
	if len(values) <= MaxAccounts {
		return values
	}
	keys := make([]uint32, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y uint32) int { return cmp.Or(cmp.Compare(size(values[y]), size(values[x])), cmp.Compare(x, y)) })
	kept := make(map[uint32]V, MaxAccounts)
	for _, key := range keys[:MaxAccounts] {
		kept[key] = values[key]
	}
	return kept
}

// Merge stores the report of a peer. A report over the bound is ignored.
func (a *Accounts) Merge(peer string, report *AccountsReport) {
	if report == nil || !a.opts.Enabled() || len(report.Own) > MaxAccounts || len(report.Fleet) > MaxAccounts {
		return
	}
	now := a.opts.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers[peer] = &peerCounts{report: report, receivedAt: now}
	for name, p := range a.peers {
		if now.Sub(p.receivedAt) >= reportLifetime {
			delete(a.peers, name)
		}
	}
	age := now.Sub(a.started)
	if learned := time.Duration(report.Learned) * time.Second; age < usualTime && learned > age+a.learnedBefore+time.Second && len(report.Fleet) > 0 {
		// This instance has just started: it takes over what others have learned.
		a.learnedBefore = min(learned, usualTime) - age
		a.usualAt = now
		clear(a.usual)
		for key, v := range report.Fleet {
			a.usual[key] = float64(v[1]) / 10
		}
	}
}
