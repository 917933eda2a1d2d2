package workload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/workload"
)

// predicted holds the times of the predictions whose errors the tests record.
var predicted = workload.Times{FirstEvent: 400 * time.Millisecond, End: time.Second}

// recordErrors records drawn errors of the times to the first event and to the end, whose
// logarithms have a standard deviation of 0.5 around that of the factor.
func recordErrors(e *workload.Estimators, run *workload.Request, factor float64, count int, now time.Time) {
	random := rand.New(rand.NewPCG(3, 4))
	for range count {
		drawn := factor * math.Exp(0.5*random.NormFloat64())
		e.ObserveFirst(run, &predicted, time.Duration(drawn*float64(predicted.FirstEvent)), true, now)
		e.ObserveEnd(run, &predicted, time.Duration(drawn*float64(predicted.End)), true, now)
	}
}

func chances(e *workload.Estimators, run *workload.Request, objective, deadline time.Duration, now time.Time) workload.Chances {
	return e.Expect(run, now).Chances(&predicted, objective, deadline)
}

// TestProbabilitiesFollowErrors guards against probabilities that do not follow the recorded
// errors: with a median of 1 the predicted time is met by half of the runs, and a standard
// deviation more by 0.84.
func TestProbabilitiesFollowErrors(t *testing.T) {
	var e workload.Estimators
	recordErrors(&e, stream("m"), 1, 2000, start)
	deviation := math.Exp(0.5)
	half := chances(&e, stream("m"), predicted.FirstEvent, predicted.End, start)
	must.True(t, half.Known)
	must.Between(t, 0.45, half.Objective, 0.55)
	must.Between(t, 0.45, half.Deadline, 0.55)
	more := chances(&e, stream("m"), time.Duration(deviation*float64(predicted.FirstEvent)), time.Duration(deviation*float64(predicted.End)), start)
	must.Between(t, 0.79, more.Objective, 0.89)
	must.Between(t, 0.79, more.Deadline, 0.89)
	last := 0.0
	for limit := time.Millisecond; limit < time.Hour; limit = limit * 5 / 4 {
		c := chances(&e, stream("m"), limit, 0, start)
		must.Between(t, last, c.Objective, 1)
		must.Eq(t, 1, c.Deadline)
		last = c.Objective
	}
	must.Eq(t, 1, last)
	must.Zero(t, chances(&e, stream("m"), -1, 0, start).Objective)
	must.Eq(t, 1, chances(&e, stream("m"), 0, 0, start).Objective)
}

// TestFewErrorsLeaveTheTimes guards against probabilities that depend on chance: with few errors the
// predicted times count as exact, also once many errors are old.
func TestFewErrorsLeaveTheTimes(t *testing.T) {
	var e workload.Estimators
	check := func(now time.Time) {
		t.Helper()
		c := chances(&e, stream("m"), predicted.FirstEvent, predicted.End-1, now)
		must.Eq(t, workload.Chances{Objective: 1, Left: predicted.FirstEvent}, c)
		c = chances(&e, stream("m"), predicted.FirstEvent-1, predicted.End, now)
		must.Eq(t, workload.Chances{Deadline: 1, Left: predicted.FirstEvent - 1}, c)
	}
	check(start)
	recordErrors(&e, stream("m"), 4, 19, start)
	check(start)
	recordErrors(&e, stream("m"), 4, 100, start)
	must.True(t, chances(&e, stream("m"), predicted.FirstEvent, 0, start.Add(time.Second)).Known)
	check(start.Add(2 * time.Minute))
}

// TestErrorsAreKeptApart guards against errors of one kind of run that move the probabilities of
// another one.
func TestErrorsAreKeptApart(t *testing.T) {
	var e workload.Estimators
	recordErrors(&e, stream("m"), 4, 100, start)
	must.Less(t, 0.2, chances(&e, stream("m"), predicted.FirstEvent, 0, start).Objective)
	for _, change := range []func(*workload.Request){
		func(r *workload.Request) { r.Service = "other" },
		func(r *workload.Request) { r.Long = true },
		func(r *workload.Request) { r.Stream = false },
	} {
		other := stream("m")
		change(other)
		must.False(t, chances(&e, other, predicted.End, 0, start).Known)
	}
}

// TestCensoredRuns guards against runs that are left out because they never answered: a
// fourth that was ended at twice the predicted time counts as slower than that.
func TestCensoredRuns(t *testing.T) {
	var e workload.Estimators
	for i := range 400 {
		e.ObserveFirst(stream("m"), &predicted, predicted.FirstEvent, true, start)
		if i%4 < 3 {
			e.ObserveEnd(stream("m"), &predicted, predicted.End, true, start)
			continue
		}
		e.ObserveEnd(stream("m"), &predicted, 2*predicted.End, false, start)
	}
	for _, limit := range []time.Duration{2 * predicted.End, 10 * predicted.End} {
		must.Between(t, 0.74, chances(&e, stream("m"), 0, limit, start).Deadline, 0.76)
	}
	// Of what is known to be longer, the shares of the known times hold.
	for range 100 {
		e.ObserveEnd(stream("m"), &predicted, 4*predicted.End, true, start)
		e.ObserveEnd(stream("m"), &predicted, 8*predicted.End, true, start)
	}
	before := chances(&e, stream("m"), 0, 6*predicted.End, start.Add(time.Second)).Deadline
	for range 10 {
		e.ObserveEnd(stream("m"), &predicted, 2*predicted.End, false, start.Add(time.Second))
	}
	after := chances(&e, stream("m"), 0, 6*predicted.End, start.Add(2*time.Second)).Deadline
	must.Between(t, before-0.02, after, before)
}

// TestManyCensoredRuns guards against probabilities that are too low because many runs
// are ended before their answer, at times that do not depend on how long they would have taken.
func TestManyCensoredRuns(t *testing.T) {
	long := workload.Times{End: 100 * time.Second}
	for _, median := range []float64{1, 1.4} {
		var e workload.Estimators
		random, now := rand.New(rand.NewPCG(5, 6)), start
		for range 4000 {
			now = now.Add(10 * time.Millisecond)
			took, cut := math.Exp(0.5*random.NormFloat64()), median*math.Exp(0.5*random.NormFloat64())
			e.ObserveEnd(stream("m"), &long, time.Duration(min(took, cut)*float64(long.End)), took <= cut, now)
		}
		for _, limit := range []float64{0.7, 1, 1.4, 2} {
			actual := 0.5 * math.Erfc(-math.Log(limit)/0.5/math.Sqrt2)
			c := e.Expect(stream("m"), now).Chances(&long, 0, time.Duration(limit*float64(long.End)))
			must.Between(t, actual-0.03, c.Deadline, actual+0.03)
		}
	}
}

// TestCalibrationCounts guards against runs that are counted without a known probability or
// outcome, or in the wrong tenth.
func TestCalibrationCounts(t *testing.T) {
	var e workload.Estimators
	run := stream("m")
	known := workload.Chances{Objective: 0.75, Left: time.Second, Known: true}
	unknown, missed, without := known, known, known
	unknown.Known, missed.Left, without.Left = false, -1, 0
	for _, c := range []*workload.Chances{&unknown, &missed, &without} {
		e.ObserveObjective(run, c, time.Millisecond, true)
	}
	// A run that was ended before its objective may have met it.
	e.ObserveObjective(run, &known, 900*time.Millisecond, false)
	must.SliceEmpty(t, e.Calibrations())
	e.ObserveObjective(run, &known, time.Second, true)
	e.ObserveObjective(run, &known, time.Second+1, true)
	e.ObserveObjective(run, &known, time.Second+1, false)
	certain := known
	certain.Objective = 1
	e.ObserveObjective(run, &certain, time.Second, true)
	all := e.Calibrations()
	must.SliceLen(t, 1, all)
	expected := workload.Calibration{Service: "s", Stream: true}
	expected.Met[7], expected.Missed[7], expected.Met[9] = 1, 2, 1
	must.Eq(t, expected, all[0])
}
