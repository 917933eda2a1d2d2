package staging_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/staging"
)

const longestPause = 6500 * time.Millisecond

// newTimedFleet returns a fleet with the times of the settings.
func newTimedFleet(size int) *fleet {
	f := newFleet(size)
	for _, c := range f.controllers {
		setTimes(c, longestPause)
		c.ObserveVersions(service, []string{oldVersion})
	}
	f.clock.advance(10 * time.Second)
	for _, c := range f.controllers {
		c.ObserveVersions(service, []string{oldVersion, newVersion})
	}
	return f
}

func (f *fleet) report(from, to int) {
	f.controllers[to].MergeSessionReport(f.controllers[from].Sessions(true))
}

// requireNew requires that an instance sends requests of canarySession to the new version only.
func requireNew(t *testing.T, c *staging.Controller) {
	t.Helper()
	must.Eq(t, newVersion, c.Stage(service, canarySession).Only)
}

// requireNotNew requires that an instance does not send requests of canarySession to the new version.
func requireNotNew(t *testing.T, c *staging.Controller, settings ...must.Setting) {
	t.Helper()
	must.False(t, c.Stage(service, canarySession).Admits(newVersion), settings...)
}

// reportMany makes the first instance use many sessions and report them to the second one: more
// than a report may state.
func (f *fleet) reportMany() {
	for session := range uint64(200_000) {
		f.controllers[0].Stage(service, session)
		if session%1000 == 0 {
			f.report(0, 1)
		}
	}
}

// orderAndMove orders the new version at the given instances, and requires that canarySession has
// moved to it at the first one 2 s later.
func (f *fleet) orderAndMove(t *testing.T, within time.Duration, instances ...*staging.Controller) {
	t.Helper()
	for _, c := range instances {
		c.SetOrder(staging.Order{Service: service, Target: newVersion, Within: within})
	}
	f.clock.advance(2 * time.Second)
	requireNew(t, f.controllers[0])
}

// TestReportsStateTheAgeOfAUse guards against a report whose receiver takes the time of
// receipt for the time of use, and keeps the session on its version for longer than others.
func TestReportsStateTheAgeOfAUse(t *testing.T) {
	// relayed returns a fleet in which two reports relayed a use of the session to the last instance.
	relayed := func() *fleet {
		f := newTimedFleet(3)
		f.controllers[0].Stage(service, canarySession)
		f.order(newVersion, 40*time.Second)
		f.clock.advance(1200 * time.Millisecond)
		f.report(0, 1)
		f.clock.advance(1200 * time.Millisecond)
		f.report(1, 2)
		return f
	}
	f := relayed()
	// The session keeps its version for its longest pause and five seconds more, from its
	// use on, at all instances.
	f.clock.advance(longestPause + 5*time.Second - 2600*time.Millisecond)
	must.True(t, f.controllers[2].Stage(service, canarySession).Admits(oldVersion))
	f = relayed()
	f.clock.advance(longestPause + 5*time.Second - 2200*time.Millisecond)
	requireNew(t, f.controllers[2])
}

// TestMovesAreKnownAndNotUndone guards against a session that moved to the new version and
// goes back at an instance that has an older report, or has not received the order.
func TestMovesAreKnownAndNotUndone(t *testing.T) {
	f := newTimedFleet(3)
	f.orderAndMove(t, 20*time.Second, f.controllers[0])
	f.report(0, 1)
	requireNew(t, f.controllers[1])
	// An instance that has not learned of the move uses the old version.
	requireNotNew(t, f.controllers[2])
	f.report(2, 1)
	requireNew(t, f.controllers[1])
	f.report(1, 2)
	requireNew(t, f.controllers[2])
	for _, c := range f.controllers {
		c.SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.RolledBack})
		requireNotNew(t, c)
	}
}

// TestSecondOrderOfATargetMovesNoSessionAtOnce guards against a session that moved under an order
// that was rolled back or replaced, and moves at once when the same version is ordered again.
func TestSecondOrderOfATargetMovesNoSessionAtOnce(t *testing.T) {
	for _, ended := range []bool{false, true} {
		f := newTimedFleet(2)
		f.orderAndMove(t, 20*time.Second, f.controllers...)
		c, peer := f.controllers[0], f.controllers[1]
		c.BeginRequest(service, canarySession)
		report := c.Sessions(true)
		if ended {
			f.setStatus(newVersion, staging.RolledBack)
		}
		f.order(oldVersion, 20*time.Second)
		f.setStatus(oldVersion, staging.Running)
		f.clock.advance(100 * time.Millisecond)
		c.EndRequest(service, canarySession)
		requireNotNew(t, c)
		// A late report of the move, before the second order and after it.
		peer.MergeSessionReport(report)
		f.clock.advance(time.Second)
		f.order(newVersion, 20*time.Second)
		f.setStatus(newVersion, staging.Running)
		c.BeginRequest(service, canarySession)
		for range 20 {
			f.clock.advance(100 * time.Millisecond)
			for i, c := range f.controllers {
				requireNotNew(t, c, must.Sprintf("ended %t, instance %d", ended, i))
			}
			f.report(0, 1)
			f.report(1, 0)
		}
	}
}

func (f *fleet) setStatus(target string, state staging.State) {
	for _, c := range f.controllers {
		c.SetStatus(staging.Status{Service: service, Target: target, State: state})
	}
}

// TestMovesBelongToTheirOrder guards against moves that are lost because an instance learns
// late when the order began, or because the order is replaced by one with another deadline.
func TestMovesBelongToTheirOrder(t *testing.T) {
	f := newTimedFleet(2)
	f.orderAndMove(t, 20*time.Second, f.controllers[0])
	f.report(0, 1)
	f.clock.advance(time.Second)
	f.controllers[1].SetOrder(staging.Order{Service: service, Target: newVersion, Within: 20 * time.Second})
	f.controllers[1].Merge("0", f.controllers[0].Export())
	requireNew(t, f.controllers[1])
	f.order(newVersion, 30*time.Second)
	for _, c := range f.controllers {
		requireNew(t, c)
	}
}

// TestWithdrawnMovesEndEverywhere guards against a move that was reported and then not made, since
// no server of the new version was available, but stays in force at the other instances.
func TestWithdrawnMovesEndEverywhere(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		f := newTimedFleet(3)
		f.orderAndMove(t, 30*time.Second, f.controllers...)
		move := f.controllers[0].Sessions(true)
		f.report(0, 1)
		f.clock.advance(100 * time.Millisecond)
		f.controllers[0].RecordOldVersionUse(service, canarySession)
		f.clock.advance(50 * time.Millisecond)
		f.report(0, 1)
		if relayed {
			// The move arrives after its withdrawal at the last instance.
			f.report(1, 2)
			f.controllers[2].MergeSessionReport(move)
		} else {
			f.controllers[2].MergeSessionReport(move)
			f.report(1, 2)
		}
		for range 10 {
			for i, c := range f.controllers {
				requireNotNew(t, c, must.Sprintf("instance %d", i))
			}
			f.clock.advance(time.Second)
			f.report(2, 0)
			f.report(1, 0)
		}
	}
}

// TestSessionsMovedByAnEarlierRolloutStay guards against a session that moved to a version
// shortly before its success, and moves on when the next version is ordered.
func TestSessionsMovedByAnEarlierRolloutStay(t *testing.T) {
	f := newTimedFleet(1)
	c := f.controllers[0]
	f.order(newVersion, 20*time.Second)
	f.clock.advance(19 * time.Second)
	requireNew(t, c)
	c.SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Succeeded})
	f.clock.advance(time.Second)
	c.ObserveVersions(service, []string{newVersion, "v3"})
	f.order("v3", 20*time.Second)
	f.clock.advance(2 * time.Second)
	must.False(t, c.Stage(service, canarySession).Admits("v3"))
	must.True(t, c.Stage(service, canarySession).Admits(newVersion))
	must.Eq(t, "v3", c.Stage(service, canarySession+1).Only)
}

// TestSessionIsActiveWhileItsRequestIsInProgress guards against a session that moves because
// its latest request took long.
func TestSessionIsActiveWhileItsRequestIsInProgress(t *testing.T) {
	f := newTimedFleet(2)
	f.controllers[0].Stage(service, canarySession)
	f.controllers[0].BeginRequest(service, canarySession)
	f.order(newVersion, 60*time.Second)
	for range 20 {
		f.clock.advance(time.Second)
		f.report(0, 1)
	}
	f.controllers[0].EndRequest(service, canarySession)
	f.clock.advance(longestPause)
	for _, c := range f.controllers {
		must.True(t, c.Stage(service, canarySession).Admits(oldVersion))
	}
}

// TestReportsAreBounded guards against datagrams that grow with the number of sessions until
// they are too large to be sent.
func TestReportsAreBounded(t *testing.T) {
	f := newTimedFleet(2)
	f.reportMany()
	f.controllers[1].MergeSessionReport(f.controllers[0].Sessions(true))
	for session := range uint64(200_000) {
		f.controllers[1].Stage(service, 1<<32+session)
	}
	encoded, err := cbor.Marshal(f.controllers[1].Sessions(true))
	must.NoError(t, err)
	must.LessEq(t, 4600, len(encoded))
	must.Greater(t, 4400, len(encoded))
	// The latest uses are the ones that are kept.
	must.LessEq(t, 100, len(f.controllers[1].ActiveSessions()))
	must.LessEq(t, 100, len(f.controllers[1].RelayedSessions()))
}

// records counts the uses in a report.
func records(report *staging.SessionReport) int {
	bytes := 0
	for _, groups := range [][]staging.SessionUses{report.Own, report.Relayed} {
		for _, group := range groups {
			bytes += len(group.Records)
		}
	}
	return bytes / 9
}

// TestSteadySessionsAreRarelyReported guards against reports that take the bytes of the control
// plane while sessions go on without a rollout: each session must be in at most a third of
// the datagrams. Within the time that the hold covers it is reported again.
func TestSteadySessionsAreRarelyReported(t *testing.T) {
	const sessions, steps = 50, 200
	for _, ordered := range []bool{false, true} {
		f := newTimedFleet(3)
		f.report(0, 1)
		f.report(1, 0)
		if ordered {
			f.order(newVersion, time.Minute)
		}
		sent, longest := 0, 0
		unreported := map[uint64]int{}
		for step := range steps {
			for session := range uint64(sessions) {
				f.controllers[step%2].Stage(service, session)
				unreported[session]++
			}
			report := f.controllers[0].Sessions(true)
			sent += records(report)
			for _, group := range append(report.Own, report.Relayed...) {
				for r := group.Records; len(r) > 0; r = r[9:] {
					delete(unreported, binary.BigEndian.Uint64(r))
				}
			}
			for _, n := range unreported {
				longest = max(longest, n)
			}
			f.controllers[1].MergeSessionReport(report)
			f.controllers[0].MergeSessionReport(f.controllers[1].Sessions(false))
			f.clock.advance(200 * time.Millisecond)
		}
		t.Logf("order %t: each session is in %.2f of the datagrams, and longest unreported for %d", ordered, float64(sent)/sessions/steps, longest)
		must.LessEq(t, sessions*steps*2/5, sent)
		must.LessEq(t, 21, longest)
	}
}

// TestFreshUsesAreSentFirst guards against first uses that are dropped for repeated ones.
func TestFreshUsesAreSentFirst(t *testing.T) {
	f := newTimedFleet(1)
	c := f.controllers[0]
	c.Stage(service, 2000)
	for session := range uint64(150) {
		c.Stage(service, session)
	}
	f.clock.advance(4500 * time.Millisecond)
	c.Stage(service, 2001)
	for session := range uint64(150) {
		c.Stage(service, session)
	}
	must.SliceContains(t, c.ActiveSessions(), staging.ActiveSession{Service: service, Session: 2001})
	must.Eq(t, 1, records(c.UrgentSessions(false)))
}

// TestWithoutSessionTimeNothingNewIsSent guards against deployments whose settings don't state
// the longest pause of a session, and that nevertheless send reports.
func TestWithoutSessionTimeNothingNewIsSent(t *testing.T) {
	f := newFleet(1)
	c := f.controllers[0]
	announced := 0
	setTimes(c, 0)
	onUrgentUse(c, func() { announced++ })
	for range 3 {
		c.BeginRequest(service, canarySession)
		c.Stage(service, canarySession)
		c.EndRequest(service, canarySession)
	}
	must.Nil(t, c.Sessions(true))
	f.order(newVersion, 20*time.Second)
	must.SliceEmpty(t, c.Export())
	must.Len(t, 3, c.ActiveSessions())
	c.MergeSessions([]staging.ActiveSession{{Service: service, Session: canarySession + 1}, {Service: service, Session: canarySession + 1}}, nil)
	must.Len(t, 1, c.RelayedSessions())
	f.clock.advance(1300 * time.Millisecond)
	must.SliceEmpty(t, c.ActiveSessions())
	c.MergeSessions([]staging.ActiveSession{{Service: service, Session: canarySession + 1}}, nil)
	must.Len(t, 1, c.RelayedSessions())
	must.Zero(t, announced)
}

// TestRelayedSessionsAreForgotten guards against memory that grows without bound at an instance
// that has no requests and receives only what leaders relay.
func TestRelayedSessionsAreForgotten(t *testing.T) {
	for _, previous := range []bool{false, true} {
		f := newTimedFleet(1)
		c := f.controllers[0]
		for session := range uint64(300) {
			if previous {
				c.MergeSessions(nil, []staging.ActiveSession{{Service: service, Session: session}})
			} else {
				record := append(binary.BigEndian.AppendUint64(nil, session), 0)
				c.MergeSessionReport(&staging.SessionReport{Relayed: []staging.SessionUses{{Service: service, Records: record}}})
			}
			f.clock.advance(time.Second)
		}
		// The hold takes 11.5 s, and entries are removed once in that time.
		must.LessEq(t, 25, c.KnownSessions(), must.Sprintf("previous build %t", previous))
	}
}

// TestShortOrdersHaveTimeForTheirTrial guards against an order that is so short that no session
// moves before its deadline.
func TestShortOrdersHaveTimeForTheirTrial(t *testing.T) {
	for _, within := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 60 * time.Second} {
		f := newTimedFleet(1)
		f.order(newVersion, within)
		start := min(within/10, 1500*time.Millisecond)
		f.clock.advance(start - time.Millisecond)
		requireNotNew(t, f.controllers[0])
		f.clock.advance(time.Millisecond)
		must.Eq(t, newVersion, f.controllers[0].Stage(service, canarySession+1).Only, must.Sprint(within))
	}
}

// TestAgesBelongToTheirOrder guards against an order with another deadline for the same target that
// begins too early, since a peer states the age of the order before it.
func TestAgesBelongToTheirOrder(t *testing.T) {
	for _, previous := range []bool{false, true} {
		f := newTimedFleet(2)
		f.order(newVersion, 30*time.Second)
		f.clock.advance(10 * time.Second)
		c := f.controllers[0]
		c.SetOrder(staging.Order{Service: service, Target: newVersion, Within: 40 * time.Second})
		sent := f.controllers[1].Export()
		must.Len(t, 1, sent)
		if previous {
			sent[0].WithinMS = 0
		}
		c.Merge("1", sent)
		// Ages of the previous build count for any order of the target.
		must.Eq(t, map[bool]int64{false: 0, true: 10_000}[previous], c.Export()[0].AgeMS)
		f.controllers[1].SetOrder(staging.Order{Service: service, Target: newVersion, Within: 40 * time.Second})
		f.clock.advance(2 * time.Second)
		f.controllers[1].Merge("0", c.Export())
		must.Eq(t, c.Export()[0].AgeMS, f.controllers[1].Export()[0].AgeMS)
	}
}

// TestPeersOfThePreviousBuildAreUnderstood guards against fleets of two builds in which active
// sessions are known only to instances of one of them.
func TestPeersOfThePreviousBuildAreUnderstood(t *testing.T) {
	f := newTimedFleet(2)
	leader, member := f.controllers[0], f.controllers[1]
	must.False(t, leader.PreviousBuildPeers())
	sent := []staging.ActiveSession{{Service: service, Session: canarySession}}
	leader.MergeSessions(sent, nil)
	must.True(t, leader.PreviousBuildPeers())
	must.Eq(t, sent, leader.RelayedSessions())
	f.report(0, 1)
	member.Stage(service, canarySession+1)
	f.report(1, 0)
	must.Len(t, 2, leader.RelayedSessions())
	f.order(newVersion, 20*time.Second)
	f.clock.advance(2 * time.Second)
	must.True(t, member.Stage(service, canarySession).Admits(oldVersion))
	must.True(t, leader.Stage(service, canarySession+1).Admits(oldVersion))
	must.Eq(t, newVersion, leader.Stage(service, canarySession+2).Only)
	// A moved session is not sent to them as one that uses the old version.
	for _, session := range leader.ActiveSessions() {
		must.NotEq(t, canarySession+2, session.Session)
	}
	f.clock.advance(10 * time.Second)
	must.False(t, leader.PreviousBuildPeers())
}

// TestDamagedReportsAreIgnored guards against a datagram that ends within a record.
func TestDamagedReportsAreIgnored(t *testing.T) {
	f := newTimedFleet(1)
	f.controllers[0].MergeSessionReport(&staging.SessionReport{Own: []staging.SessionUses{{Service: service, Records: []byte{0, 0, 0, 0, 0, 0, 0, 1}}}})
	f.orderAndMove(t, 20*time.Second, f.controllers...)
}

// BenchmarkFullReport measures a leader's report with as many uses as it may send, and its
// receipt.
func BenchmarkFullReport(b *testing.B) {
	f := newTimedFleet(3)
	f.reportMany()
	b.Run("send", func(b *testing.B) {
		for range b.N {
			f.controllers[1].Sessions(true)
		}
	})
	b.Run("receive", func(b *testing.B) {
		report := f.controllers[1].Sessions(true)
		for range b.N {
			f.controllers[2].MergeSessionReport(report)
		}
	})
}
