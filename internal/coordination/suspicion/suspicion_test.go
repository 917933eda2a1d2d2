package suspicion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fixture holds a detector with an injected clock, which watches "b" and "c".
type fixture struct {
	*Detector
	now time.Time
	// leads is true if the instance of the detector leads.
	leads    bool
	requests int
}

func newFixture(watchers int) *fixture {
	b := &fixture{now: time.Unix(1000, 0)}
	b.Detector = New("a", func() time.Time { return b.now })
	b.Watch(map[string]string{"b": "1", "c": "1"}, watchers)
	b.HeardProbe("b")
	return b
}

// run advances the clock, with ticks; "c" is heard all the time.
func (b *fixture) run(lasts time.Duration) {
	for range lasts / Tick {
		b.now = b.now.Add(Tick)
		b.Heard("c")
		b.requests += len(b.Tick(b.leads).Requests)
	}
}

var silent = &Report{Observed: []Statement{{Instance: "b"}}}

// TestStatementsThatASuspicionNeeds guards against an instance that is omitted because of one
// cut link, and against a suspicion without enough unanswered requests or of too short a
// silence.
func TestStatementsThatASuspicionNeeds(t *testing.T) {
	b := newFixture(6)
	b.leads = true
	b.run(silenceLimit - Tick)
	must.Nil(t, b.Report())
	b.run(2 * Tick)
	must.Eq(t, minRequests, b.requests)
	must.Eq(t, []Statement{{Instance: "b"}}, b.Report().Observed)
	must.SliceEmpty(t, b.Suspected())
	b.Merge("c", silent)
	b.run(Tick)
	must.Eq(t, []string{"b"}, b.Suspected())
	must.Eq(t, []Statement{{Instance: "b"}}, b.Report().Decided)

	two := newFixture(2)
	two.leads = true
	two.run(silenceLimit + 2*Tick)
	must.Eq(t, []string{"b"}, two.Suspected())
}

// TestStatementsEnd guards against suspicions that outlive a datagram of the suspected instance,
// or the loss of those that state them.
func TestStatementsEnd(t *testing.T) {
	b := newFixture(6)
	b.leads = true
	b.run(silenceLimit + 2*Tick)
	b.Merge("c", silent)
	b.run(Tick)
	b.Merge("c", &Report{Observed: []Statement{{Instance: "b", Heard: true}}})
	b.run(Tick)
	must.SliceEmpty(t, b.Suspected())
	must.Eq(t, []Statement{{Instance: "b", Heard: true}}, b.Report().Decided)

	// An instance that does not lead takes the decision of one of two leaders.
	member := newFixture(6)
	member.Watch(nil, 6)
	member.Merge("c", &Report{Decided: []Statement{{Instance: "b"}}})
	member.run(lifetime - Tick)
	must.Eq(t, []string{"b"}, member.Suspected())
	must.Nil(t, member.Report())
	member.run(Tick)
	must.SliceEmpty(t, member.Suspected())
	member.Merge("c", &Report{Decided: []Statement{{Instance: "b"}}})
	member.Merge("d", &Report{Decided: []Statement{{Instance: "b", Heard: true}}})
	must.SliceEmpty(t, member.Suspected())
}

// TestEarlierBuildsAreNotSuspected guards against an instance that is suspected because its
// build sends no probes, also after one that did.
func TestEarlierBuildsAreNotSuspected(t *testing.T) {
	b := newFixture(2)
	b.leads = true
	b.Watch(map[string]string{"b": "2", "c": "1"}, 2)
	b.run(10 * time.Second)
	must.SliceEmpty(t, b.Suspected())
	must.LessEq(t, 10, b.requests)
}

// TestSuspendedInstanceSuspectsNone guards against an instance that was suspended itself and
// takes all others for silent.
func TestSuspendedInstanceSuspectsNone(t *testing.T) {
	b := newFixture(6)
	b.Merge("c", &Report{Decided: []Statement{{Instance: "b"}}})
	b.run(silenceLimit - Tick)
	b.now = b.now.Add(time.Second)
	b.run(silenceLimit - Tick)
	must.Zero(t, b.Begun())
	must.SliceEmpty(t, b.Suspected())
}
