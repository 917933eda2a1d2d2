package clientmemory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// openRequest returns a budget of a megabyte, and the account of a request in it with what its connection holds.
func openRequest(t *testing.T) (budget *clientmemory.Budget, request *clientmemory.Request, connection int64) {
	t.Helper()
	budget = clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: 1 << 20} }, time.Now)
	h, err := budget.NewGroup(func() int { return 0 }).Open("client", func(clientmemory.Phase) {})
	must.NoError(t, err)
	must.NoError(t, h.SetPhase(clientmemory.Running))
	return budget, h.NewRequest(), budget.Used()
}

// What a request holds must count beyond what every request counts with, and must be released once: a
// slow copy of its answer, such as that of a second server, would otherwise release what the next request holds.
func TestRequestsCountWhatTheyHold(t *testing.T) {
	budget, request, connection := openRequest(t)
	must.NoError(t, request.Grow(clientmemory.FirstResponseBytes))
	must.Eq(t, connection, budget.Used())
	must.NoError(t, request.Grow(10_000))
	must.Eq(t, connection+10_000, budget.Used())
	request.Shrink(9_000)
	must.Eq(t, connection+1_000, budget.Used())

	must.NoError(t, request.End(50_000))
	must.Eq(t, connection+50_000, budget.Used())
	must.ErrorIs(t, request.Grow(10_000), clientmemory.ErrEnded)
	request.Shrink(10_000)
	must.Eq(t, connection+50_000, budget.Used())
}

// Running requests are not evicted, so they must leave a part of the memory to new connections, and must hold no
// more after a refusal than before.
func TestRunningRequestsLeaveMemoryToOthers(t *testing.T) {
	budget, request, connection := openRequest(t)
	must.ErrorIs(t, request.Grow(15<<16), clientmemory.ErrFull)
	must.Eq(t, connection, budget.Used())
	must.Eq(t, int64(1), budget.Refused())
	must.NoError(t, request.Grow(13<<16))
	must.ErrorIs(t, request.Grow(2<<16), clientmemory.ErrFull)
	must.NoError(t, request.End(0))
	must.Eq(t, connection, budget.Used())
}

// A request that ends while an answer for it is being counted, such as that of a second server, must release what
// the answer counts with only once: the connection would otherwise count with less than it holds.
func TestRequestsThatEndWhileTheyGrowCountOnce(t *testing.T) {
	budget, request, connection := openRequest(t)
	evicted := func(clientmemory.Phase) { must.NoError(t, request.End(50_000)) }
	other, err := budget.NewGroup(func() int { return 0 }).Open("other", evicted)
	must.NoError(t, err)
	must.NoError(t, other.SetPhase(clientmemory.Body))
	must.NoError(t, other.Grow(12<<16))
	must.ErrorIs(t, request.Grow(4<<16), clientmemory.ErrEnded)
	must.Eq(t, connection+50_000, budget.Used())
}
