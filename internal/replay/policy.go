package replay

import (
	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

// Policy is a variant of the decision code. Each function replaces one decision;
// nil keeps that of the decision code.
type Policy struct {
	Name string
	// steps chooses the steps of a plan.
	steps func(options []cascade.Option) []cascade.Option
	// route chooses among the candidates that passed the filters, and returns
	// an index.
	route func(e *entry, left []routing.Candidate) int
	// halts reports whether to halt a rollout.
	halts func(oldArm, newArm rollout.Counts) bool
}

// Policies are the unchanged decision code, which is the first, and the
// reference policies that it is compared with.
var Policies = []Policy{
	{Name: "medlarslip"},
	{Name: "always strongest", steps: func(o []cascade.Option) []cascade.Option { return o[len(o)-1:] }},
	{Name: "always cheapest", steps: func(o []cascade.Option) []cascade.Option { return o[:1] }},
	{Name: "fixed cascade", steps: func(o []cascade.Option) []cascade.Option { return o }},
	{Name: "round robin", route: roundRobin},
	{Name: "least connections", route: leastConnections},
	{Name: "fixed-threshold halt", halts: fixedThreshold},
}

func roundRobin(e *entry, left []routing.Candidate) int {
	e.roundRobinIndex++
	return e.roundRobinIndex % len(left)
}

// leastConnections chooses the server with the fewest connections that the
// entry instance can observe: its own, or those in the last load report.
func leastConnections(_ *entry, left []routing.Candidate) int {
	best := 0
	for i := range left {
		if connections(&left[i].Server) < connections(&left[best].Server) {
			best = i
		}
	}
	return best
}

func connections(server *backends.Snapshot) int {
	return max(server.InFlight, server.Load.Running+server.Load.Waiting)
}

const (
	fixedMinRated = 100
	fixedMargin   = 0.10
)

// fixedThreshold halts the rollout if the new version has a minimum number of
// rated answers, and the share of them below the target exceeds that of the old
// version by a fixed margin. It is the best of the fixed rules in the tests of
// package rollout.
func fixedThreshold(oldArm, newArm rollout.Counts) bool {
	if newArm.Rated < fixedMinRated || oldArm.Rated == 0 {
		return false
	}
	return float64(newArm.Below)/float64(newArm.Rated) > float64(oldArm.Below)/float64(oldArm.Rated)+fixedMargin
}
