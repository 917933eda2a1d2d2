package escalation

const (
	// scarceUtilization is the utilization of the budget for runs from which it counts as
	// scarce. Below it, runs are limited by their own cost alone.
	scarceUtilization = 0.8
	// fullBudgetGain is the gain that a run must bring when the budget is used up: more than
	// that of any run of the second priority, whose value is half, so that the last runs go
	// to answers of the highest priority.
	fullBudgetGain = 0.5
)

// MinGain returns the least gain, in good answers of the highest priority, for which a run is
// worth a share of the budget at the given utilization of it. The budget limits the runs of a
// window, so a run that gains little displaces one that gains more a moment later. The price
// rises with the utilization, so that the budget lasts for the runs that gain most.
func MinGain(utilization float64) float64 {
	scarcity := (utilization - scarceUtilization) / (1 - scarceUtilization)
	return fullBudgetGain * min(max(scarcity, 0), 1)
}
