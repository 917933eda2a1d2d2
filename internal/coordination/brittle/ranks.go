package brittle

// Ranks are the ranks of an instance, from 0, for a server in orders of all instances that may be
// running. All instances compute the same orders.
type Ranks struct {
	// Listed is the rank in an order that begins with the instances which the directory lists for clients.
	Listed int
	// Any is the rank by a hash.
	Any int
	// Trial is the rank by a hash that changes every TrialTurn, so that each instance may try
	// in its turn, also one without a portion of any server. Clocks need not agree: where some
	// instances use the order of another turn, as many may try on average.
	Trial int
}

// TrialTurn is the time in which the instances that may try by rank do so once.
const TrialTurn = maxTrialInterval

// portion returns the part of a total that an instance gets: the same for all, and of the
// remainder one for each of the first of either order. So the parts add up to the total,
// instances without clients do not have all of it, and the others have a part at some servers.
func portion(total, instances int, ranks Ranks) int {
	instances = max(instances, 1)
	own, rest := total/instances, total%instances
	if ranks.Listed < (rest+1)/2 {
		own++
	}
	if ranks.Any < rest/2 {
		own++
	}
	return own
}
