package replay_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/replay"
)

const seed = 7

func run(t *testing.T, trace *replay.Trace, policy string) *replay.Report {
	t.Helper()
	for i := range replay.Policies {
		if replay.Policies[i].Name == policy {
			report, err := replay.Run(trace, &replay.Policies[i])
			must.NoError(t, err)
			return report
		}
	}
	t.Fatalf("no policy %q", policy)
	return nil
}

func generate(t *testing.T, name string) *replay.Trace {
	t.Helper()
	trace, err := replay.Generate(replay.ProfileOf(name), seed)
	must.NoError(t, err)
	return trace
}

func TestTraceRoundTrip(t *testing.T) {
	trace := generate(t, "kavango")
	var text bytes.Buffer
	must.NoError(t, replay.Write(&text, trace))
	again, err := replay.Read(&text)
	must.NoError(t, err)
	must.Eq(t, trace, again)
	_, err = replay.Read(bytes.NewBufferString(`{"name":"x","colour":1}`))
	must.ErrorIs(t, err, replay.ErrTrace)
}

// TestStatedOutcomes checks that replays of both users' traces reach the
// objectives in the traces, and break no invariant.
func TestStatedOutcomes(t *testing.T) {
	for _, name := range []string{"kavango", "consorzio"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace := generate(t, name)
			ours := run(t, trace, "medlarslip")
			strongest := run(t, trace, "always strongest")
			fixed := run(t, trace, "fixed cascade")
			var table bytes.Buffer
			must.NoError(t, replay.WriteTable(&table, []*replay.Report{ours, strongest, fixed}))
			t.Log("\n" + table.String())
			must.SliceEmpty(t, ours.Violations)
			must.GreaterEq(t, trace.Header.Objectives.InTime, replay.Share(ours.InTime, ours.Feasible))
			must.LessEq(t, trace.Header.Objectives.CostOfStrongest*float64(strongest.Micros), float64(ours.Micros))
			must.Less(t, fixed.Micros, ours.Micros)
			must.GreaterEq(t, replay.Share(strongest.Met, strongest.Requests)-0.01, replay.Share(ours.Met, ours.Requests))
		})
	}
}

// TestReplayIsDeterministic guards against results that depend on the iteration
// order of maps: it repeats a trace in which a failure domain fails with many
// calls in flight.
func TestReplayIsDeterministic(t *testing.T) {
	profile := *replay.ProfileOf("design")
	profile.Entries, profile.Seconds = 20, 6
	trace, err := replay.Generate(&profile, seed)
	must.NoError(t, err)
	first := run(t, trace, "medlarslip")
	for range 3 {
		again := run(t, trace, "medlarslip")
		must.Eq(t, first.Micros, again.Micros)
		must.Eq(t, first.P99, again.P99)
		must.Eq(t, first.InTime, again.InTime)
	}
}
