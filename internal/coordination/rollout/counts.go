// Package rollout monitors rollouts: it pools the outcomes that all instances
// observe of the old and the new version, and halts a rollout whose new version
// is worse.
package rollout

// Counts are grow-only counters of the outcomes of one version in one rollout,
// as one instance observed them.
type Counts struct {
	// Answers counts completed steps, Failed those without a complete answer.
	Answers uint64 `json:"answers"`
	Failed  uint64 `json:"failed"`
	// Rated counts rated answers, Below those below the quality target.
	Rated uint64 `json:"rated"`
	Below uint64 `json:"below"`
	// Timed counts answers whose latency was compared with the old version,
	// Slow those that took far longer than is usual for it.
	Timed uint64 `json:"timed"`
	Slow  uint64 `json:"slow"`
	// Above counts the timed answers that took longer than the median of the
	// old version.
	Above uint64 `json:"above,omitempty"`
}

// Add adds the counts of another instance.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Rated += o.Rated
	c.Below += o.Below
	c.Timed += o.Timed
	c.Slow += o.Slow
	c.Above += o.Above
}

// Since returns the difference to an earlier state of the same counters.
func (c Counts) Since(o Counts) Counts {
	return Counts{
		Answers: c.Answers - o.Answers, Failed: c.Failed - o.Failed,
		Rated: c.Rated - o.Rated, Below: c.Below - o.Below,
		Timed: c.Timed - o.Timed, Slow: c.Slow - o.Slow, Above: c.Above - o.Above,
	}
}

// Join sets each counter to the maximum of both, so that exports may arrive
// late, twice or out of order (grow-only counter: Shapiro et al.,
// Conflict-free Replicated Data Types, 2011).
func (c *Counts) Join(o Counts) {
	c.Answers = max(c.Answers, o.Answers)
	c.Failed = max(c.Failed, o.Failed)
	c.Rated = max(c.Rated, o.Rated)
	c.Below = max(c.Below, o.Below)
	c.Timed = max(c.Timed, o.Timed)
	c.Slow = max(c.Slow, o.Slow)
	c.Above = max(c.Above, o.Above)
}

// Arm identifies one side of a rollout: its old or its new version.
type Arm struct {
	Rollout   string `json:"rollout"`
	VersionID string `json:"version_id"`
}

// ArmCounts holds the counts of one instance for one side of a rollout.
type ArmCounts struct {
	Arm    Arm    `json:"arm"`
	Counts Counts `json:"counts"`
	// AgeMS is the time in milliseconds for which the rollout has been known; 0
	// where it is not sent.
	AgeMS int64 `json:"age_ms,omitempty"`
	// WithinMS is the time in milliseconds from the order of AgeMS to its deadline; 0
	// where it is not sent.
	WithinMS int64 `json:"within_ms,omitempty"`
	// Servers is the largest number of servers of the new version that accepted requests, or
	// UnknownServers. 0 is sent if an instance of the previous build, which sends no number,
	// has the order.
	Servers int `json:"servers,omitempty"`
}

// UnknownServers is the number of servers that an instance sends as long as it does not know it.
const UnknownServers = -1

// Halt is the automatic end of a rollout. It applies permanently to this version
// under this rollout ID: a newer document lifts it by marking the rollout done
// or by starting another one under a new ID.
type Halt struct {
	Arm
	// Cause names the measure by which the new version was worse.
	Cause string `json:"cause"`
	// Instance is the instance that detected it.
	Instance string `json:"instance"`
}

// Digest is the state that instances exchange. Merging it is idempotent and
// independent of order, so that it works while the log service is unavailable.
type Digest struct {
	Counts []ArmCounts `json:"shares"`
	Halts  []Halt      `json:"halts"`
}
