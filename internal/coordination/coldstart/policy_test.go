package coldstart

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/state/backends"
)

const testLongestCall = 10 * time.Second

// testFleet is a fleet of policies that call each other in one process.
type testFleet struct {
	t   *testing.T
	log *logservice.Service

	mu       sync.Mutex
	index    *document.Index
	policies map[string]*Policy
	alive    []string
	warmth   map[string]gossip.Entry
	runs     sync.WaitGroup
	stops    map[string]context.CancelFunc
}

func (f *testFleet) EntryIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive
}

func (f *testFleet) document() *document.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

func (f *testFleet) setDocument(index *document.Index) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index = index
}

func (f *testFleet) ControlAddress(id string) (string, bool) { return id, true }

func (f *testFleet) Publish(kind gossip.Kind, key string, value []byte, _ time.Duration, _ bool) {
	entry := gossip.Entry{Kind: kind, Key: key, Value: value}
	f.mu.Lock()
	f.warmth[key] = entry
	policies := maps.Clone(f.policies)
	f.mu.Unlock()
	for _, p := range policies {
		p.OnEntry(entry)
	}
}

func (f *testFleet) Get(_ gossip.Kind, key string) (gossip.Entry, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.warmth[key]
	return entry, time.Now(), ok
}

func (f *testFleet) Call(ctx context.Context, address, method string, params, result any) error {
	f.mu.Lock()
	p, ok := f.policies[address]
	f.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	must.NoError(f.t, err)
	handle := p.HandleAcquire
	if method == MethodRelease {
		handle = p.HandleRelease
	}
	answer, err := handle(ctx, "peer", raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(answer)
	must.NoError(f.t, err)
	return json.Unmarshal(raw, result)
}

func testDocument(out bool) *document.Index {
	return document.NewIndex(&document.Document{
		Models:         []document.Model{{Name: "m", Versions: []document.Version{{ID: "v"}}}},
		ColdLimits:     []document.ColdLimit{{Target: "m", MaxInFlight: 2, WarmAfterRequests: 3}},
		FailureDomains: []document.FailureDomain{{Name: "a", Out: out}},
	})
}

// inFleet runs a test with three instances before one cold server.
func inFleet(t *testing.T, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{
			t: t, log: logservice.New(0), index: testDocument(false), policies: map[string]*Policy{},
			warmth: map[string]gossip.Entry{}, stops: map[string]context.CancelFunc{}, alive: []string{"e1", "e2", "e3"},
		}
		for _, id := range f.alive {
			f.start(id, "first")
		}
		defer f.runs.Wait()
		defer func() {
			for _, stop := range f.stops {
				stop()
			}
		}()
		time.Sleep(5 * time.Second)
		test(f)
	})
}

func (f *testFleet) start(id, incarnation string) {
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "s", Serves: []string{"v"}, FailureDomain: "a", Incarnation: "1"}})
	p := New(Config{
		Instance: id, Incarnation: incarnation, Log: f.log, Members: f, Gossip: f, Peers: f, Table: table,
		Index: f.document, LongestCall: testLongestCall,
	})
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	f.policies[id], f.stops[id] = p, stop
	f.mu.Unlock()
	f.runs.Go(func() { _ = p.Run(ctx) })
}

func (f *testFleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[id]()
	delete(f.policies, id)
	var alive []string
	for _, other := range f.alive {
		if other != id {
			alive = append(alive, other)
		}
	}
	f.alive = alive
}

func (f *testFleet) server(id string) *backends.Snapshot {
	s := f.policies[id].config.Table.Get("s").Snapshot()
	return &s
}

func (f *testFleet) acquire(id string) (Slot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testLongestCall)
	defer cancel()
	return f.policies[id].Acquire(ctx, f.index, f.server(id))
}

// fill acquires slots through all instances until none is left.
func (f *testFleet) fill() []Slot {
	var slots []Slot
	for range 2 {
		for id := range f.policies {
			if slot, err := f.acquire(id); err == nil {
				slots = append(slots, slot)
			}
		}
	}
	return slots
}

func (f *testFleet) holder() string {
	for _, p := range f.policies {
		holder, _ := p.holderOf("s")
		return holder.instance
	}
	return ""
}

func (p *Policy) holderOf(server string) (holderID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grantor.holder(server)
}

// ramp answers well until the server counts as warm.
func (f *testFleet) ramp() {
	for range 200 {
		for _, id := range f.alive {
			if f.server(id).Warm() {
				return
			}
			if slot, err := f.acquire(id); err == nil {
				time.Sleep(100 * time.Millisecond)
				f.policies[id].Release(slot, "s", 100*time.Millisecond, true)
				synctest.Wait()
			}
		}
	}
}

func TestFleetSharesTheBoundOfAColdServer(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		must.Len(t, 2, f.fill())
		_, err := f.acquire("e1")
		must.ErrorIs(t, err, ErrBoundReached)
		must.Eq(t, 0, f.policies["e1"].Bound(f.index, f.server("e1")), must.Sprint("is left out for a moment"))
	})
}

func TestUnreleasedSlotExpires(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		must.Len(t, 2, f.fill())
		time.Sleep(testLongestCall)
		must.Len(t, 0, f.fill())
		time.Sleep(2 * slotUseTimeout)
		must.Len(t, 2, f.fill())
	})
}

func TestGoodAnswersWarmServerOnAllInstances(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.ramp()
		for _, id := range f.alive {
			must.Eq(t, -1, f.policies[id].Bound(f.index, f.server(id)))
		}
	})
}

func TestWarmServerBecomesColdAgain(t *testing.T) {
	cases := []struct {
		name string
		turn func(f *testFleet)
	}{
		{"answers fail", func(f *testFleet) {
			for range badCallLimit {
				f.policies["e2"].Release(Slot{}, "s", time.Second, false)
			}
		}},
		{"failure domain is taken out", func(f *testFleet) {
			f.setDocument(testDocument(true))
			time.Sleep(2 * tickInterval)
			f.setDocument(testDocument(false))
		}},
		{"process starts again", func(f *testFleet) {
			for _, p := range f.policies {
				p.config.Table.Get("s").SetWarmth(backends.Warmth{Warm: true, Incarnation: "1", Started: 5})
				p.config.Table.Get("s").SetLoad(backends.Load{Started: 6, ReadAt: time.Now()})
			}
		}},
		{"incarnation changes", func(f *testFleet) {
			for _, p := range f.policies {
				p.config.Table.Apply([]backends.Server{{ID: "s", Serves: []string{"v"}, Incarnation: "2"}})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(f *testFleet) {
				f.ramp()
				must.True(t, f.server("e1").Warm())
				c.turn(f)
				for _, id := range f.alive {
					must.False(t, f.server(id).Warm())
				}
			})
		})
	}
}

func TestInstanceWithBadNetworkMarksNoServerCold(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		p := f.policies["e1"]
		var servers []backends.Server
		for _, id := range []string{"s", "s2", "s3"} {
			servers = append(servers, backends.Server{ID: id, Serves: []string{"v"}, Incarnation: "1"})
		}
		p.config.Table.Apply(servers)
		for _, server := range servers {
			f.Publish(gossip.KindWarmth, server.ID, encodeWarmth(backends.Warmth{Warm: true, Incarnation: "1"}), 0, true)
			p.badCalls[server.ID] = badCallLimit - 1
		}
		p.badCalls["s2"], p.badCalls["s3"] = badCallLimit, badCallLimit
		p.Release(Slot{}, "s", time.Second, false)
		must.True(t, f.server("e1").Warm())
	})
}

func TestBadAnswersDuringRampUpReduceBound(t *testing.T) {
	server := &coldServer{slots: map[uint64]time.Time{}}
	server.resetOnChange(serverRun{incarnation: "1"}, &document.ColdLimit{MaxInFlight: 2, WarmAfterRequests: 3})
	for range 9 {
		must.False(t, server.observe(time.Second, true))
	}
	must.Eq(t, 8, server.bound)
	server.observe(slowFactor*time.Second+1, true)
	must.Eq(t, 4, server.bound)
	server.observe(time.Second, false)
	must.Eq(t, 2, server.bound)
}

func TestCrashedHolderIsReplacedAfterItsLease(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		old := f.holder()
		must.Len(t, 2, f.fill())
		f.kill(old)
		lease := newDurations(testLongestCall).lease
		time.Sleep(lease - renewInterval)
		must.Len(t, 0, f.fill())
		time.Sleep(renewInterval + takeoverMargin + 5*time.Second)
		must.NotEq(t, old, f.holder())
		must.Len(t, 2, f.fill())
	})
}

func TestStoppingHolderIsReplacedAtOnce(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		old := f.holder()
		f.policies[old].Leave()
		time.Sleep(2 * time.Second)
		f.kill(old)
		time.Sleep(5 * time.Second)
		must.Len(t, 2, f.fill())
	})
}

func TestLogOutageStopsColdTrafficWhenLeaseExpires(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.log.SetOutage(true)
		slots := f.fill()
		must.Len(t, 2, slots, must.Sprint("the lease is still valid"))
		time.Sleep(newDurations(testLongestCall).lease)
		must.Len(t, 0, f.fill())
		f.log.SetOutage(false)
		time.Sleep(5 * time.Second)
		must.Len(t, 2, f.fill())
	})
}

func TestLogOutageDoesNotAffectWarmServers(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.ramp()
		f.log.SetOutage(true)
		time.Sleep(time.Hour)
		must.Eq(t, -1, f.policies["e1"].Bound(f.index, f.server("e1")))
	})
}

func TestLeaseAppendsAreBounded(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		before := f.log.Appends()
		time.Sleep(10 * time.Minute)
		// One renewal in each interval, give or take a tick.
		must.LessEq(t, int(10*time.Minute/renewInterval)+1, f.log.Appends()-before)
	})
}

func TestStaleSlotsAreNotUsed(t *testing.T) {
	now := time.Unix(100, 0)
	g := newGrantor(holderID{"e1", "first"}, testLongestCall)
	must.NoError(t, g.checkSlot(Slot{Server: "s", Fence: 7}, now, now))
	must.ErrorIs(t, g.checkSlot(Slot{Server: "s", Fence: 6}, now, now), ErrStaleSlot)
	must.ErrorIs(t, g.checkSlot(Slot{Server: "s", Fence: 8}, now, now.Add(slotUseTimeout+1)), ErrStaleSlot)
}

func TestCallLongerThanSlotIsRefused(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		_, err := f.policies["e1"].Acquire(context.Background(), f.index, f.server("e1"))
		must.ErrorIs(t, err, ErrTooLong)
	})
}

func FuzzLeaseTable(f *testing.F) {
	f.Add([]byte(`{"server":"s","previous":-1}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		newLeaseTable(newDurations(time.Second)).apply(&platform.ReadResponse{Records: []json.RawMessage{raw}}, time.Now())
		decodeWarmth(raw)
	})
}
