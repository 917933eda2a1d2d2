package coldstart

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	modelInstances   = 3
	modelServer      = "server-1"
	modelLongestCall = 30 * time.Second
)

var modelLimit = &document.ColdLimit{MaxInFlight: 2, WarmAfterRequests: 1 << 20}

// grantedSlot is a slot on its way to the instance that asked for it.
type grantedSlot struct {
	slot        Slot
	holder      holderID
	requester   int
	requestedAt time.Time
}

// runningCall is a call that the cold server works on.
type runningCall struct {
	grantedSlot
	end time.Time
}

// model is a fleet whose instances lag, pause, restart and disagree, before
// one cold server.
type model struct {
	now       time.Time
	log       *logservice.Service
	instances [modelInstances]*grantor
	restarts  int
	// late holds appends that have not taken effect yet.
	late       []json.RawMessage
	slots      []grantedSlot
	calls      []runningCall
	grantCount int
	holders    map[holderID]bool
}

func newModel() *model {
	m := &model{now: time.Unix(0, 0), log: logservice.New(0), holders: map[holderID]bool{}}
	for i := range m.instances {
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	m.restarts++
	self := holderID{fmt.Sprint(i), fmt.Sprint(m.restarts)}
	m.instances[i] = newGrantor(self, modelLongestCall)
}

func draw(t *rapid.T) int { return rapid.IntRange(0, modelInstances-1).Draw(t, "instance") }

// rarely skips most draws of an action.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") != 0 {
		t.Skip("not now")
	}
}

func (m *model) Restart(t *rapid.T) {
	rarely(t)
	m.restart(draw(t))
}

// Settle is what mostly happens: a claim takes effect and is read at once.
func (m *model) Settle(t *rapid.T) {
	i := draw(t)
	raw, err := json.Marshal(m.instances[i].claimLease(modelServer, m.now))
	must.NoError(t, err)
	m.take(raw)
	m.read(t, i, 1000)
}

// advanceSteps holds times near which the rules of leases and slots change.
var advanceSteps = []time.Duration{
	10 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second, 14 * time.Second, 20 * time.Second, modelLongestCall,
	modelLongestCall + slotUseTimeout, leaseReserve, modelLongestCall + leaseReserve + 2*slotUseTimeout, 90 * time.Second,
}

func (m *model) Advance(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom(advanceSteps).Draw(t, "step"))
	m.calls = slices.DeleteFunc(m.calls, func(c runningCall) bool { return !c.end.After(m.now) })
}

// append writes a record now, late or never; the writer is not told which.
func (m *model) append(t *rapid.T, record records.Lease) {
	raw, err := json.Marshal(record)
	must.NoError(t, err)
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		m.late = append(m.late, raw)
	case 1:
	default:
		m.take(raw)
	}
}

func (m *model) take(raw json.RawMessage) {
	_, _ = m.log.Append(context.Background(), platform.StreamLeases, []json.RawMessage{raw})
}

func (m *model) Claim(t *rapid.T) {
	i := draw(t)
	m.append(t, m.instances[i].claimLease(modelServer, m.now))
}

func (m *model) GiveUp(t *rapid.T) {
	if record, ok := m.instances[draw(t)].releaseLease(modelServer, m.now); ok {
		m.append(t, record)
	}
}

func (m *model) LateAppend(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	m.take(m.late[i])
	m.late = slices.Delete(m.late, i, i+1)
}

func (m *model) Read(t *rapid.T) { m.read(t, draw(t), rapid.IntRange(1, 5).Draw(t, "records")) }

func (m *model) ReadAll(t *rapid.T) {
	for i := range m.instances {
		m.read(t, i, 1000)
	}
}

func (m *model) read(t *rapid.T, i, limit int) {
	page, err := m.log.Read(context.Background(), platform.StreamLeases, m.instances[i].leases.next, limit, 0)
	must.NoError(t, err)
	m.instances[i].apply(page, m.now)
}

func (m *model) Retention(t *rapid.T) {
	rarely(t)
	page, err := m.log.Read(context.Background(), platform.StreamLeases, 0, 1, 0)
	must.NoError(t, err)
	below := page.Next - int64(rapid.IntRange(0, 3).Draw(t, "kept"))
	if below > 0 {
		m.log.Trim(platform.StreamLeases, below)
	}
}

// FillUp asks for and uses all slots that any instance grants.
func (m *model) FillUp(t *rapid.T) {
	for range modelInstances * modelLimit.MaxInFlight {
		m.Ask(t)
		if len(m.slots) > 0 {
			m.Use(t)
		}
	}
}

func (m *model) Ask(t *rapid.T) {
	holder := m.instances[draw(t)]
	slot, err := holder.grant(modelServer, serverRun{incarnation: "1"}, modelLimit, m.now)
	if err == nil {
		m.grantCount++
		m.holders[holder.self] = true
		m.slots = append(m.slots, grantedSlot{slot: slot, holder: holder.self, requester: draw(t), requestedAt: m.now})
	}
}

func (m *model) Use(t *rapid.T) {
	if len(m.slots) == 0 {
		t.Skip("none")
	}
	g := m.slots[0]
	m.slots = m.slots[1:]
	if m.instances[g.requester].checkSlot(g.slot, g.requestedAt, m.now) != nil {
		return
	}
	m.calls = append(m.calls, runningCall{grantedSlot: g, end: m.now.Add(modelLongestCall)})
}

// End ends a call; its holder may not hear of it.
func (m *model) End(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("none")
	}
	call := m.calls[0]
	m.calls = m.calls[1:]
	lost := rapid.Bool().Draw(t, "release lost")
	for _, in := range m.instances {
		if in.self == call.holder && !lost {
			in.slotReleased(&ReleaseRequest{Slot: call.slot, Good: rapid.Bool().Draw(t, "good")})
		}
	}
}

func (m *model) Tidy(t *rapid.T) { m.instances[draw(t)].prune(m.now) }

func (m *model) Check(t *rapid.T) {
	if len(m.calls) > modelLimit.MaxInFlight {
		t.Fatalf("%d calls run on a server that bears %d", len(m.calls), modelLimit.MaxInFlight)
	}
}

func TestCallsNeverExceedTheBoundWhateverInstancesDo(t *testing.T) {
	grants, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(rapid.StateMachineActions(m))
		grants += m.grantCount
		changes += max(len(m.holders)-1, 0)
	})
	// The property would be worthless if little were granted, or by one
	// holder only.
	must.Greater(t, 1000, grants)
	must.Greater(t, 100, changes)
}
