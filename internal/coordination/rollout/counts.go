// Package rollout watches roll-outs: it pools what instances see of the old
// and the new version, and halts a roll-out whose new version is worse.
package rollout

// Counts are grow-only counters of one version in one roll-out, as one
// instance saw it.
type Counts struct {
	// Answers counts ended steps, Failed those without a whole answer.
	Answers uint64 `json:"answers"`
	Failed  uint64 `json:"failed"`
	// Rated counts rated answers, Below those under the quality target.
	Rated uint64 `json:"rated"`
	Below uint64 `json:"below"`
	// Timed counts answers whose time was compared, Slow those that took far
	// longer than is usual for the old version.
	Timed uint64 `json:"timed"`
	Slow  uint64 `json:"slow"`
	// Above counts answers among the timed that took longer than half of those of
	// the old version do.
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

// Since returns what was counted after an earlier state.
func (c Counts) Since(o Counts) Counts {
	return Counts{
		Answers: c.Answers - o.Answers, Failed: c.Failed - o.Failed,
		Rated: c.Rated - o.Rated, Below: c.Below - o.Below,
		Timed: c.Timed - o.Timed, Slow: c.Slow - o.Slow, Above: c.Above - o.Above,
	}
}

// Join keeps the higher of each counter, so that exports may arrive late,
// twice or out of order (grow-only counter: Shapiro et al., Conflict-free
// Replicated Data Types, 2011).
func (c *Counts) Join(o Counts) {
	c.Answers = max(c.Answers, o.Answers)
	c.Failed = max(c.Failed, o.Failed)
	c.Rated = max(c.Rated, o.Rated)
	c.Below = max(c.Below, o.Below)
	c.Timed = max(c.Timed, o.Timed)
	c.Slow = max(c.Slow, o.Slow)
	c.Above = max(c.Above, o.Above)
}

// Arm names one side of a roll-out.
type Arm struct {
	Rollout   string `json:"rollout"`
	VersionID string `json:"version_id"`
}

// ArmCounts is the counts of one instance for one side of a roll-out.
type ArmCounts struct {
	Arm    Arm    `json:"arm"`
	Counts Counts `json:"counts"`
	// AgeMS is for how many milliseconds the roll-out is known.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Halt is the automatic end of a roll-out. It is bound to the version and the
// ID of the roll-out for good: a newer document lifts it by declaring the
// roll-out done or by starting another under a new ID.
type Halt struct {
	Arm
	// Cause names the measure that was worse.
	Cause string `json:"cause"`
	// Instance is the one that found it.
	Instance string `json:"instance"`
}

// Digest is what instances exchange. Merging it is idempotent and needs no
// order, so that it works while the log is down.
type Digest struct {
	Counts []ArmCounts `json:"shares"`
	Halts  []Halt      `json:"halts"`
}
