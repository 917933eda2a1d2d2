package overload_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/overload"
	"medlarslip/internal/protocol/refusal"
)

func work(account string, deadline time.Duration) overload.Work {
	return overload.Work{Account: account, Weight: 10, Limit: 10000, Priority: 5, Deadline: time.Now().Add(deadline)}
}

// fill takes all places of a new gate.
func fill(t *testing.T, gate *overload.Gate) []*overload.Ticket {
	t.Helper()
	var tickets []*overload.Ticket
	for range 256 {
		ticket, refused := gate.Admit(t.Context(), work("filler", time.Minute))
		must.Nil(t, refused)
		tickets = append(tickets, ticket)
	}
	return tickets
}

func TestAccountLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := overload.NewGate(time.Now)
		limited := work("a", time.Minute)
		limited.Limit = 2
		first, refused := gate.Admit(t.Context(), limited)
		must.Nil(t, refused)
		_, refused = gate.Admit(t.Context(), limited)
		must.Nil(t, refused)
		_, refused = gate.Admit(t.Context(), limited)
		must.Eq(t, refusal.KindOverloaded, refused.Kind)
		must.Eq(t, refusal.NotRun, refused.Outcome)
		must.Positive(t, refused.RetryAfterMillis)
		first.Release(overload.ResultOK)
		_, refused = gate.Admit(t.Context(), limited)
		must.Nil(t, refused)
	})
}

func TestWaitEndsWhenTheAnswerWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := overload.NewGate(time.Now)
		fill(t, gate)
		start := time.Now()
		waiting := work("a", 10*time.Second)
		waiting.Expected = 4 * time.Second
		_, refused := gate.Admit(t.Context(), waiting)
		must.Eq(t, refusal.KindOverloaded, refused.Kind)
		must.Eq(t, 6*time.Second, time.Since(start))
		start = time.Now()
		hopeless := work("a", time.Second)
		hopeless.Expected = 2 * time.Second
		_, refused = gate.Admit(t.Context(), hopeless)
		must.NotNil(t, refused)
		must.Eq(t, 0, time.Since(start))
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		_, refused = gate.Admit(canceled, waiting)
		must.NotNil(t, refused)
	})
}

// order lets the given work wait at a full gate and returns who was let in,
// one place at a time.
func order(t *testing.T, queue []overload.Work) []string {
	t.Helper()
	gate := overload.NewGate(time.Now)
	tickets := fill(t, gate)
	entered := make(chan string, len(queue))
	for _, w := range queue {
		go func() {
			if _, refused := gate.Admit(context.Background(), w); refused == nil {
				entered <- w.Account
			}
		}()
		synctest.Wait()
	}
	var names []string
	for range queue {
		tickets[0].Release(overload.ResultOK)
		tickets = tickets[1:]
		synctest.Wait()
		names = append(names, <-entered)
	}
	return names
}

func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent, soon, heavy := work("urgent", time.Minute), work("soon", time.Second), work("heavy", time.Minute)
		urgent.Priority, heavy.Weight = 1, 30
		must.Eq(t, []string{"urgent", "soon", "late"}, order(t, []overload.Work{work("late", time.Minute), soon, urgent}))
		greedy := work("greedy", time.Minute)
		must.Eq(t, []string{"greedy", "modest", "greedy", "greedy"}, order(t, []overload.Work{greedy, greedy, greedy, work("modest", 2*time.Minute)}))
		var both []overload.Work
		for range 12 {
			both = append(both, heavy, work("light", time.Minute))
		}
		first := order(t, both)[:12]
		must.Between(t, 8, count(first, "heavy"), 10)
	})
}

func count(names []string, name string) int {
	return len(slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n != name }))
}

func TestFullQueueShedsTheLastInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := overload.NewGate(time.Now)
		tickets := fill(t, gate)
		var shed atomic.Int64
		for range 256 {
			go func() {
				if _, refused := gate.Admit(context.Background(), work("low", time.Minute)); refused != nil {
					shed.Add(1)
				}
			}()
		}
		synctest.Wait()
		must.Eq(t, 0, shed.Load())
		urgent := work("urgent", time.Minute)
		urgent.Priority = 0
		entered := false
		go func() {
			_, refused := gate.Admit(context.Background(), urgent)
			entered = refused == nil
		}()
		synctest.Wait()
		must.Eq(t, 1, shed.Load())
		tickets[0].Release(overload.ResultOK)
		synctest.Wait()
		must.True(t, entered)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 256, shed.Load())
	})
}

func TestLimitFollowsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := overload.NewGate(time.Now)
		tickets := fill(t, gate)
		hopeless := work("a", 0)
		for _, ticket := range tickets[:100] {
			ticket.Release(overload.ResultOverloaded)
			time.Sleep(time.Second)
		}
		taken := 0
		for {
			if _, refused := gate.Admit(t.Context(), hopeless); refused != nil {
				break
			}
			taken++
		}
		must.Eq(t, 0, taken)
		for _, ticket := range tickets[100:] {
			ticket.Release(overload.ResultOK)
		}
		for {
			if _, refused := gate.Admit(t.Context(), hopeless); refused != nil {
				break
			}
			taken++
		}
		must.Between(t, 8, taken, 20)
	})
}

// TestSharesNeverExceedTheLimit lets instances join and leave at random, while
// each sees the list with a lag of its own.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const lag = overload.ViewStableTime / 2
	const step = 100 * time.Millisecond
	highest := 0
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 5))
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		clock := func() time.Time { return now }
		history := [][]string{nil}
		dividers := map[string]*overload.Divider{}
		created := 0
		join := func() {
			id := fmt.Sprint("entry-", created)
			created++
			delay := random.IntN(int(lag / step))
			history[len(history)-1] = append(slices.Clone(history[len(history)-1]), id)
			dividers[id] = overload.NewDivider(id, func() []string {
				seen := slices.Clone(history[max(0, len(history)-1-delay)])
				if !slices.Contains(seen, id) {
					seen = append(seen, id)
				}
				return seen
			}, clock)
		}
		for range 3 {
			join()
		}
		for range 600 {
			now = now.Add(step)
			history = append(history, slices.Clone(history[len(history)-1]))
			if random.IntN(40) == 0 {
				for range 1 + random.IntN(4) {
					join()
				}
			}
			if live := history[len(history)-1]; random.IntN(40) == 0 && len(live) > 1 {
				delete(dividers, live[0])
				history[len(history)-1] = live[1:]
			}
			for _, limit := range []int{1, 7, 100} {
				sum := 0
				for _, d := range dividers {
					d.Refresh()
					sum += d.Share("a", limit)
				}
				must.LessEq(t, limit, sum)
				if limit == 100 {
					highest = max(highest, sum)
				}
			}
		}
	}
	must.Greater(t, 80, highest)
}

func BenchmarkEnterLeave(b *testing.B) {
	gate := overload.NewGate(time.Now)
	w := overload.Work{Account: "a", Weight: 1, Limit: 10000, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, refused := gate.Admit(context.Background(), w)
			if refused == nil {
				ticket.Release(overload.ResultOK)
			}
		}
	})
}
