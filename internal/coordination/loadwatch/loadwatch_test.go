package loadwatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/state/backends"
)

// engines are servers whose load a test sets.
type engines struct {
	mu      sync.Mutex
	running map[string]int
	down    bool
	reads   int
}

func (e *engines) Load(_ context.Context, address string) (backends.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	if e.down {
		return backends.Load{}, errors.New("down")
	}
	return backends.Load{Running: e.running[address], Started: 7, ReadAt: time.Now()}, nil
}

func (e *engines) set(change func(*engines)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// localGossip is gossip that reaches all watchers at once.
type localGossip struct {
	mu       sync.Mutex
	count    int
	watchers []*Watcher
}

func (s *localGossip) Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, _ bool) {
	entry, observed := gossip.Entry{Kind: kind, Key: key, Value: value}, time.Now().Add(-ageOf)
	s.mu.Lock()
	s.count++
	s.mu.Unlock()
	for _, w := range s.watchers {
		w.OnEntry(entry, observed)
	}
}

// fleet is instances that watch servers.
type fleet struct {
	engines *engines
	gossip  *localGossip
	live    []string
	stops   []context.CancelFunc
	tables  []*backends.Table
}

func inFleet(t *testing.T, instances, servers int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			engines: &engines{running: map[string]int{}},
			gossip:  &localGossip{},
		}
		var list []backends.Server
		for i := range servers {
			id := fmt.Sprintf("s%d", i)
			list = append(list, backends.Server{ID: id, Address: id, Serves: []string{"v"}})
		}
		var runs sync.WaitGroup
		for i := range instances {
			f.live = append(f.live, fmt.Sprintf("e%d", i))
		}
		for _, id := range f.live {
			table := backends.NewTable()
			table.Apply(list)
			w := New(Config{Self: id, EntryIDs: func() []string { return f.live }, Table: table, Reader: f.engines, Gossip: f.gossip})
			f.gossip.watchers = append(f.gossip.watchers, w)
			f.tables = append(f.tables, table)
		}
		for _, w := range f.gossip.watchers {
			ctx, stop := context.WithCancel(context.Background())
			f.stops = append(f.stops, stop)
			runs.Go(func() { _ = w.Run(ctx) })
		}
		defer runs.Wait()
		defer func() {
			for _, stop := range f.stops {
				stop()
			}
		}()
		test(f)
	})
}

// counts returns how many reads and spread entries there were.
func (f *fleet) counts() (reads, spreads int) {
	f.engines.set(func(e *engines) { reads = e.reads })
	f.gossip.mu.Lock()
	defer f.gossip.mu.Unlock()
	return reads, f.gossip.count
}

// loads returns the load of a server as all instances know it.
func (f *fleet) loads(server string) []backends.Load {
	var all []backends.Load
	for _, table := range f.tables {
		all = append(all, table.Get(server).Snapshot().Load)
	}
	return all
}

func TestLoadReadByOneInstanceReachesAll(t *testing.T) {
	inFleet(t, 9, 30, func(f *fleet) {
		f.engines.set(func(e *engines) { e.running["s3"] = 12 })
		time.Sleep(3 * time.Second)
		for _, load := range f.loads("s3") {
			must.Eq(t, 12, load.Running)
			must.Eq(t, uint16(7), load.Started)
			must.LessEq(t, 3*time.Second, time.Since(load.ReadAt))
		}
	})
}

func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	for _, instances := range []int{3, 30} {
		inFleet(t, instances, 120, func(f *fleet) {
			time.Sleep(20 * time.Second)
			reads, spreads := f.counts()
			time.Sleep(time.Minute)
			readsLater, spreadsLater := f.counts()
			must.LessEq(t, 60*readsPerSecond, readsLater-reads)
			must.GreaterEq(t, 60*readsPerSecond/2, readsLater-reads)
			must.LessEq(t, 60*readsPerSecond/republishPeriods/groupSize+120/groupSize, spreadsLater-spreads, must.Sprint("unchanged load is seldom spread"))
		})
	}
}

func TestAnotherWatcherTakesOver(t *testing.T) {
	inFleet(t, 5, 4, func(f *fleet) {
		time.Sleep(5 * time.Second)
		for i, id := range f.live {
			if rankOf(f.live, id, "0.0") == 0 {
				f.stops[i]() // its membership still lists it
			}
		}
		time.Sleep(20 * time.Second)
		f.engines.set(func(e *engines) { e.running["s0"] = 30 })
		time.Sleep(10 * time.Second)
		known := 0
		for _, load := range f.loads("s0") {
			if load.Running == 30 {
				known++
			}
		}
		must.Eq(t, 5, known)
	})
}

func TestLoadOfAnUnreachableServerBecomesStale(t *testing.T) {
	inFleet(t, 3, 2, func(f *fleet) {
		time.Sleep(5 * time.Second)
		f.engines.set(func(e *engines) { e.down = true })
		time.Sleep(time.Minute)
		for _, load := range f.loads("s0") {
			must.GreaterEq(t, 55*time.Second, time.Since(load.ReadAt))
		}
	})
}

func TestEveryServerHasItsWatchers(t *testing.T) {
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	for s := range 100 {
		var ranks [watchersPerGroup]int
		for _, id := range ids {
			if rank := rankOf(ids, id, fmt.Sprint(s)); rank >= 0 {
				ranks[rank]++
			}
		}
		must.Eq(t, [watchersPerGroup]int{1, 1, 1}, ranks)
	}
}

func TestLoadOfAServerThatIsListedLater(t *testing.T) {
	table := backends.NewTable()
	w := New(Config{Self: "e", EntryIDs: func() []string { return nil }, Table: table, Reader: &engines{down: true}})
	load := backends.Load{Running: 300, Waiting: 2, CacheUse: 0.5, Started: 9}
	now := time.Now()
	value := encode([]digest{digestOf("s", &load)})
	w.OnEntry(gossip.Entry{Kind: gossip.KindLoad, Key: "0.0", Value: value}, now)
	table.Apply([]backends.Server{{ID: "s"}})
	w.Tick(t.Context())
	load.ReadAt = now
	must.Eq(t, load, table.Get("s").Snapshot().Load)
	older := encode([]digest{digestOf("s", &backends.Load{Running: 1})})
	w.OnEntry(gossip.Entry{Kind: gossip.KindLoad, Key: "1.0", Value: older}, now.Add(-time.Second))
	must.Eq(t, load, table.Get("s").Snapshot().Load, must.Sprint("older load does not replace newer"))
}

func FuzzDecode(f *testing.F) {
	f.Add(make([]byte, digestBytes))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, d := range decode(raw) {
			load := d.load(time.Now())
			must.True(t, load.CacheUse >= 0 && load.CacheUse <= 1)
		}
	})
}
