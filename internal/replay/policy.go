package replay

import (
	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

// Policy is one way of deciding.
type Policy struct {
	Name string
	// steps overrides the steps of a plan; nil keeps them.
	steps func(options []cascade.Option) []cascade.Option
	// route overrides the choice among the servers that the filters left; nil
	// keeps it.
	route func(e *entry, left []routing.Candidate) int
	// halts overrides the test that halts roll-outs; nil keeps it.
	halts func(oldArm, newArm rollout.Counts) bool
}

// Policies are the decision code and the baselines it is compared with.
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

// leastConnections takes the server with the fewest connections that any one
// can know of: the own, and the last reported.
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

// fixedThreshold is the best of the fixed rules in the test of package
// rollout.
func fixedThreshold(oldArm, newArm rollout.Counts) bool {
	if newArm.Rated < fixedMinRated || oldArm.Rated == 0 {
		return false
	}
	return float64(newArm.Below)/float64(newArm.Rated) > float64(oldArm.Below)/float64(oldArm.Rated)+fixedMargin
}
