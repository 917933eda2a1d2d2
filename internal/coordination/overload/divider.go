package overload

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/pause"
)

const (
	// ViewStableTime is how long a view of the entry instances must be unchanged
	// before it counts as stable. It must be at least twice the lag of the
	// instance list.
	ViewStableTime = 4 * time.Second
	// refreshInterval is the time between two reads of the entry instances.
	refreshInterval = 250 * time.Millisecond
)

// Divider divides fleet-wide limits among the entry instances without messages.
// The shares never add up to more than the limit as long as the views of the
// instances lag by less than half of ViewStableTime.
//
// With n instances each takes 1/(n+1). The rest is reserved for joining
// instances: a joining instance takes nothing for half of ViewStableTime, until
// it has observed all instances that join at the same time, and then no more
// than 1/(n(n+1)) until all others have observed it, so any number may join at
// once. n is the highest number of instances within the last ViewStableTime.
// The remainder of the integer division goes to instances with a stable view,
// chosen by rendezvous hashing.
type Divider struct {
	self      string
	entries   func() []string
	now       func() time.Time
	view      atomic.Pointer[view]
	mu        sync.Mutex
	started   time.Time
	history   []observedView
	ready     chan struct{}
	readyOnce sync.Once
}

// observedView is the set of entry instances observed from a point in time on.
type observedView struct {
	at  time.Time
	ids []string
}

// view holds what the shares are computed from. It is immutable apart from its
// cache of shares.
type view struct {
	ids []string
	// maxInstances is the largest number of instances observed within
	// ViewStableTime.
	maxInstances int
	// observing is true until this instance has observed all instances that
	// joined with it, and joining until all others have observed this one.
	observing bool
	joining   bool
	stable    bool
	shares    sync.Map // shareKey to int
}

type shareKey struct {
	account string
	limit   int
}

// NewDivider returns the divider of the instance self. entries returns the IDs
// of the live entry instances.
func NewDivider(self string, entries func() []string, now func() time.Time) *Divider {
	d := &Divider{self: self, entries: entries, now: now, started: now(), ready: make(chan struct{})}
	d.Refresh()
	return d
}

// Run refreshes the view until ctx ends. It always returns nil.
func (d *Divider) Run(ctx context.Context) error {
	pause.Every(ctx, refreshInterval, d.Refresh)
	return nil
}

// Refresh reads the entry instances and updates the view.
func (d *Divider) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	ids := slices.Sorted(slices.Values(d.entries()))
	if len(d.history) == 0 || !slices.Equal(d.history[len(d.history)-1].ids, ids) {
		d.history = append(d.history, observedView{at: now, ids: ids})
	}
	// A view ends when the next begins.
	for len(d.history) > 1 && now.Sub(d.history[1].at) >= ViewStableTime {
		d.history = d.history[1:]
	}
	next := &view{
		ids:       ids,
		stable:    len(d.history) == 1 && now.Sub(d.history[0].at) >= ViewStableTime,
		observing: now.Sub(d.started) < ViewStableTime/2,
		joining:   now.Sub(d.started) < ViewStableTime,
	}
	for _, s := range d.history {
		next.maxInstances = max(next.maxInstances, len(s.ids), 1)
	}
	d.view.Store(next)
	if !next.observing {
		d.readyOnce.Do(func() { close(d.ready) })
	}
}

// Ready returns a channel that is closed once this instance takes a share.
func (d *Divider) Ready() <-chan struct{} { return d.ready }

// Share returns this instance's share of a client account's limit. It takes no
// lock shared by all requests.
func (d *Divider) Share(account string, limit int) int {
	v := d.view.Load()
	key := shareKey{account: account, limit: limit}
	if share, ok := v.shares.Load(key); ok {
		return share.(int)
	}
	share := v.share(d.self, account, limit)
	v.shares.Store(key, share)
	return share
}

func (v *view) share(self, account string, limit int) int {
	n := v.maxInstances
	if v.observing {
		return 0
	}
	if v.joining {
		return limit / (n * (n + 1))
	}
	own := limit / (n + 1)
	if v.stable && v.rank(self, account) < limit%(n+1) {
		own++
	}
	return own
}

// rank returns the rank of self among the instances by rendezvous hashing for
// one client account, or the number of instances if self is not among them.
func (v *view) rank(self, account string) int {
	ranked := slices.SortedFunc(slices.Values(v.ids), func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"/"+account), xxhash.Sum64String(b+"/"+account))
	})
	if at := slices.Index(ranked, self); at >= 0 {
		return at
	}
	return len(ranked)
}
