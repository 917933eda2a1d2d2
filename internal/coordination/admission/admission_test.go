package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/backends"
)

// TestDecide guards against requests that wait although a slot is free for them or their objective allows no
// wait, and against ones that are sent to a full server or given up too early.
func TestDecide(t *testing.T) {
	const objective = 6 * time.Second
	cases := []struct {
		name     string
		question Question
		want     Action
	}{
		{"slots are not reported", Question{Rank: 2, Load: 90, Objective: objective}, Go},
		{"a slot is free for the rank", Question{Rank: 2, Load: 8.9, Slots: 12, Objective: objective}, Go},
		{"the free slots are for higher ranks", Question{Rank: 2, Load: 9, Slots: 12, Objective: objective}, Wait},
		{"the highest rank fills all slots", Question{Load: 11.9, Slots: 12, Objective: objective}, Go},
		{"the highest rank does not wait", Question{Load: 30, Slots: 12, Objective: objective}, Go},
		{"a full server has refused a run of the highest rank", Question{Load: 30, Slots: 12, Objective: objective, Refused: true}, Wait},
		{"the highest rank finds a slot after a refusal", Question{Load: 11.9, Slots: 12, Objective: objective, Refused: true}, Go},
		{"the highest rank after a refusal and half of the objective", Question{Load: 30, Slots: 12, Objective: objective, Refused: true, Elapsed: objective / 2}, Go},
		{"half of the objective is over", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Elapsed: objective / 2}, Go},
		{"excess waits for half of the objective", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Elapsed: objective/2 - 1, Excess: true}, Wait},
		{"excess that can't be served in time", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Elapsed: objective / 2, Excess: true}, GiveUp},
		{"excess with a slot left", Question{Rank: 1, Load: 11, Slots: 12, Objective: objective, Elapsed: objective / 2, Excess: true}, Go},
		{"excess while the service is idle", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Elapsed: objective / 2, Excess: true, Idle: true}, Go},
		{"no objective", Question{Rank: 1, Load: 30, Slots: 12}, Go},
		{"deadline leaves no time to wait", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Remaining: time.Second, Expected: 600 * time.Millisecond}, Go},
		{"deadline can't be met", Question{Rank: 1, Load: 30, Slots: 12, Objective: objective, Remaining: time.Second, Expected: 2 * time.Second}, GiveUp},
		{"deadline that a free slot may meet", Question{Rank: 2, Load: 11, Slots: 12, Objective: objective, Remaining: time.Second, Expected: 2 * time.Second}, Go},
		{"stronger run", Question{Rank: 1, Load: 11, Slots: 12, Objective: objective, Stronger: true, Elapsed: time.Second}, Wait},
		{"weak answer was kept for long", Question{Rank: 1, Load: 12, Slots: 12, Objective: objective, Stronger: true, Elapsed: time.Second, Kept: MaxKept}, GiveUp},
		{"stronger run with a slot left", Question{Rank: 1, Load: 11, Slots: 12, Objective: objective, Stronger: true, Elapsed: 4 * time.Second}, Go},
		{"stronger run of the highest rank at a full server", Question{Load: 30, Slots: 12, Objective: objective, Stronger: true, Expected: 2 * time.Second}, Go},
		{"stronger run of the highest rank that a full server delays beyond the objective", Question{Load: 30, Slots: 12, Objective: objective, Stronger: true, Expected: 2500 * time.Millisecond}, Wait},
		{"the same, when a free slot would be too late as well", Question{Load: 30, Slots: 12, Objective: objective, Stronger: true, Expected: 2500 * time.Millisecond, Elapsed: time.Second}, GiveUp},
		{"stronger run that would end late after half of the objective", Question{Rank: 1, Load: 12, Slots: 12, Objective: objective, Stronger: true, Elapsed: 2500 * time.Millisecond, Expected: 2 * time.Second}, GiveUp},
		{"stronger run may use more of the objective", Question{Rank: 1, Load: 12, Slots: 12, Objective: objective, Stronger: true, Elapsed: 4 * time.Second, Expected: 700 * time.Millisecond}, Wait},
	}
	for _, c := range cases {
		must.Eq(t, c.want, Decide(&c.question), must.Sprint(c.name))
	}
}

// TestLoadMovesToTheMeanAsReportsAge guards against a server that is skipped, or filled, because of
// an old report.
func TestLoadMovesToTheMeanAsReportsAge(t *testing.T) {
	now := time.Now()
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "full", Serves: []string{"s"}}, {ID: "idle", Serves: []string{"s"}}, {ID: "new", Serves: []string{"s"}}})
	table.Get("full").SetLoad(backends.Load{Running: 12, Waiting: 2, Slots: 12, ReadAt: now})
	table.Get("idle").SetLoad(backends.Load{Running: 2, Slots: 12, ReadAt: now})
	usage := UsageOf(backends.List(table.Serving("s")), false, now)
	must.Eq(t, Usage{Slots: 12, Taken: 16.0 / 24, Servers: 3}, usage)
	load := func(id string, age time.Duration) float64 {
		snapshot := table.Get(id).Snapshot()
		load, slots := usage.LoadOf(&snapshot, now.Add(age))
		must.Eq(t, 12, slots)
		return load
	}
	must.Eq(t, 14, load("full", 0))
	must.Eq(t, 11, load("full", reportHalfLife))
	must.Eq(t, 5, load("idle", reportHalfLife))
	must.Zero(t, load("new", 0))
	must.True(t, table.Get("new").Begin(0))
	must.Eq(t, 2, load("new", 0))
	must.True(t, table.Get("idle").Begin(0))
	must.Eq(t, 3, load("idle", 0))
	must.Eq(t, Usage{}, UsageOf(backends.List(table.Serving("s")), false, now.Add(2*MaxReportAge)))
}

// TestLoadAtServersOfOneInstance guards against an idle server that counts as full, and a full one that
// counts as idle, by reports that are older than the runs there.
func TestLoadAtServersOfOneInstance(t *testing.T) {
	server := backends.Snapshot{InFlight: 2, InFlightAtLoad: 1, PeakAtLoad: 18, Load: backends.Load{Running: 12, Waiting: 6, Slots: 12}}
	must.Eq(t, 19, server.Reported(1, false))
	must.Eq(t, 2, server.Reported(1, true))
	// Requests of a former run of the instance are not in flight.
	server.PeakAtLoad = 3
	must.Eq(t, 17, server.Reported(1, true))
	server.InFlight, server.Load = 14, backends.Load{Running: 1, Slots: 12}
	must.Eq(t, 14, server.Reported(1, true))
}

// waiting joins a request to the queue and counts how often it is woken.
func waiting(q *Queue, rank int, due time.Duration, group string) (*Ticket, *int) {
	woken := new(int)
	ticket := q.Join(&Entry{Service: "s", Rank: rank, LateAt: time.Unix(9, 0), Due: time.Unix(0, int64(due)), Group: group, Wake: func() { *woken++ }})
	return ticket, woken
}

func newQueue() *Queue {
	return &Queue{After: func(time.Duration, func()) {}, Now: func() time.Time { return time.Unix(0, 0) }}
}

// TestCapacityGoesToTheFirstInOrder guards against patient requests that take the capacity for
// which urgent ones wait.
func TestCapacityGoesToTheFirstInOrder(t *testing.T) {
	q := newQueue()
	late, lateWoken := waiting(q, 2, 3, "")
	first, firstWoken := waiting(q, 1, 9, "")
	_, middleWoken := waiting(q, 2, 1, "")
	must.True(t, q.Ahead(&Entry{Service: "s", Rank: 2, Due: time.Unix(0, 2)}))
	must.False(t, q.Ahead(&Entry{Service: "s", Rank: 1, Due: time.Unix(0, 2)}))
	must.False(t, q.Ahead(&Entry{Service: "s", Rank: 2, Due: time.Unix(0, 2), Group: "other"}))
	q.Notify("s")
	must.Eq(t, []int{1, 0, 0}, []int{*firstWoken, *middleWoken, *lateWoken})
	first.Leave()
	must.Eq(t, []int{1, 1, 0}, []int{*firstWoken, *middleWoken, *lateWoken})
	late.Leave()
	must.Eq(t, 1, q.Len("s"))
}

// TestPassEndsWhereNoOneElseCanFindCapacity guards against every waiting request looking for
// capacity at each event, and against one that does not look although its servers may be free.
func TestPassEndsWhereNoOneElseCanFindCapacity(t *testing.T) {
	q := newQueue()
	first, firstWoken := waiting(q, 1, 1, "")
	_, secondWoken := waiting(q, 1, 2, "")
	_, lowerWoken := waiting(q, 2, 3, "")
	_, otherWoken := waiting(q, 2, 4, "trial")
	woken := func() []int { return []int{*firstWoken, *secondWoken, *lowerWoken, *otherWoken} }
	q.Notify("s")
	first.Pass(true)
	must.Eq(t, []int{1, 0, 0, 1}, woken())
	// The one of the other group has the turn; an event meanwhile begins a new pass after it.
	q.Notify("s")
	must.Eq(t, []int{1, 0, 0, 1}, woken())
	q.serviceQueue("s").turn.Pass(true)
	must.Eq(t, []int{2, 0, 0, 1}, woken())
	// It was excluded from servers that others may use.
	first.Pass(false)
	must.Eq(t, []int{2, 1, 0, 1}, woken())
}

// TestRequestThatLeavesPassesItsTurn guards against a queue that stops because the client of the
// request that has the turn disconnects.
func TestRequestThatLeavesPassesItsTurn(t *testing.T) {
	q := newQueue()
	first, _ := waiting(q, 1, 1, "")
	second, secondWoken := waiting(q, 1, 2, "")
	q.Notify("s")
	first.Leave()
	first.Leave()
	must.Eq(t, 1, *secondWoken)
	first.Pass(true)
	second.Leave()
	requests, bytes := q.Held()
	must.Zero(t, requests+bytes+int64(q.Len("s")))
}

// TestQueueIsBounded guards against a process that runs out of memory because requests wait.
func TestQueueIsBounded(t *testing.T) {
	q := newQueue()
	for range MaxWaiting {
		ticket, _ := waiting(q, 1, 1, "")
		must.NotNil(t, ticket)
	}
	ticket, _ := waiting(q, 1, 1, "")
	must.Nil(t, ticket)
	q = newQueue()
	must.NotNil(t, q.Join(&Entry{Service: "s", Bytes: MaxBytes}))
	must.Nil(t, q.Join(&Entry{Service: "t", Bytes: 1}))
	must.NotNil(t, q.Join(&Entry{Service: "t"}))
}

// TestWaitingRequestsLookWithoutEvents guards against requests that wait although the estimates
// have changed since the last event.
func TestWaitingRequestsLookWithoutEvents(t *testing.T) {
	var scheduled []func()
	q := &Queue{After: func(_ time.Duration, call func()) { scheduled = append(scheduled, call) }}
	ticket, woken := waiting(q, 1, 1, "")
	_, _ = waiting(q, 1, 2, "")
	must.Len(t, 1, scheduled)
	scheduled[0]()
	must.Eq(t, 1, *woken)
	must.Len(t, 2, scheduled)
	ticket.Leave()
	q.serviceQueue("s").waiting[0].Leave()
	scheduled[1]()
	must.Len(t, 2, scheduled)
}
