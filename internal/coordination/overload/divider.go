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
	// ViewStableTime is the time for which a view of the entry instances must be
	// unchanged before it is relied on. It must be at least twice the lag of
	// the instance list.
	ViewStableTime = 4 * time.Second
	// refreshInterval is the time between two looks at the entry instances.
	refreshInterval = 250 * time.Millisecond
)

// Divider divides limits that hold for the fleet among its entry instances,
// without messages, so that the shares never add up to more than the limit
// while views of the fleet differ by less than half of ViewSettles.
//
// Of n instances each takes 1/(n+1). The part that is left over is for
// instances that join: one takes nothing for half of ViewSettles, until it has
// seen all that joined with it, and then no more than 1/(n(n+1)) until all
// others have seen it, so that any number may join at once. The highest n of
// the last ViewSettles counts. The remainder of the division goes by
// rendezvous hashing to instances whose view has settled.
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

// observedView is what was seen of the fleet from a moment on.
type observedView struct {
	at  time.Time
	ids []string
}

// view is what the shares are made from; it does not change.
type view struct {
	ids []string
	// maxInstances is the largest number of instances seen lately.
	maxInstances int
	// observing is true before all that joined with this instance are seen, and
	// joining before all others have seen it.
	observing bool
	joining   bool
	stable    bool
	shares    sync.Map // shareKey to int
}

type shareKey struct {
	account string
	limit   int
}

// NewDivider returns the divider of the instance self; entries lists the IDs
// of the live entry instances.
func NewDivider(self string, entries func() []string, now func() time.Time) *Divider {
	d := &Divider{self: self, entries: entries, now: now, started: now(), ready: make(chan struct{})}
	d.Refresh()
	return d
}

// Run refreshes the view until ctx ends.
func (d *Divider) Run(ctx context.Context) error {
	pause.Every(ctx, refreshInterval, d.Refresh)
	return nil
}

// Refresh looks at the entry instances.
func (d *Divider) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	ids := slices.Sorted(slices.Values(d.entries()))
	if len(d.history) == 0 || !slices.Equal(d.history[len(d.history)-1].ids, ids) {
		d.history = append(d.history, observedView{at: now, ids: ids})
	}
	// A sighting ends when the next begins.
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

// Share returns the part of a client account's limit that falls to this
// instance. It takes no lock that all requests share.
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

// rank orders the instances by rendezvous hashing for one client account.
func (v *view) rank(self, account string) int {
	ranked := slices.SortedFunc(slices.Values(v.ids), func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"/"+account), xxhash.Sum64String(b+"/"+account))
	})
	if at := slices.Index(ranked, self); at >= 0 {
		return at
	}
	return len(ranked)
}
