package rollout

import (
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/document"
)

const (
	// slowFactor is the multiple of the usual time of the old version from
	// which an answer counts as slow.
	slowFactor = 2
	// meanWeight is the weight of a new value in the moving mean of times.
	meanWeight = 0.05
)

var haltCount = expvar.NewInt("rollout_halts")

// Recorder keeps the audit trail of halts.
type Recorder interface {
	// RecordHalt takes a halt that this instance found. It must not block.
	RecordHalt(halt Halt)
}

// Monitor watches the roll-outs of the document in force. It is safe for
// concurrent use; requests of different roll-outs share no lock.
type Monitor struct {
	instance string
	current  func() *document.Index
	recorder Recorder
	now      func() time.Time

	arms      sync.Map // Arm to *armState
	meanTimes sync.Map // usualKey to *atomic.Int64, in nanoseconds
	// detectors holds one *sharedDetector for each roll-out ID.
	detectors sync.Map
	halts     atomic.Pointer[map[Arm]Halt]
	// haltMu orders the replacement of halts.
	haltMu sync.Mutex
}

type meanKey struct {
	rollout, kind string
}

// armState is what is known of one side of a roll-out.
type armState struct {
	mu     sync.Mutex
	own    Counts
	peers  map[string]Counts
	lastAt time.Time
}

// New returns the monitor of the named instance. The name must change with
// every start, since counters begin at 0 again. Current returns the document
// in force, or nil; a nil recorder keeps no trail.
func New(instance string, current func() *document.Index, recorder Recorder, now func() time.Time) *Monitor {
	m := &Monitor{instance: instance, current: current, recorder: recorder, now: now}
	m.halts.Store(&map[Arm]Halt{})
	return m
}

func (m *Monitor) arm(arm Arm) *armState {
	if state, ok := m.arms.Load(arm); ok {
		return state.(*armState)
	}
	state, _ := m.arms.LoadOrStore(arm, &armState{peers: map[string]Counts{}})
	return state.(*armState)
}

// Observe implements dispatch.Learner.
func (m *Monitor) Observe(sample *dispatch.Sample) {
	if sample.Rollout == "" {
		return
	}
	counts := m.countsOf(sample)
	state := m.arm(Arm{Rollout: sample.Rollout, VersionID: sample.VersionID})
	state.mu.Lock()
	state.own.Add(counts)
	state.lastAt = m.now()
	state.mu.Unlock()
	if counts.Below+counts.Failed+counts.Slow > 0 {
		m.evaluate(sample.Rollout)
	}
}

func (m *Monitor) countsOf(sample *dispatch.Sample) Counts {
	var counts Counts
	if !sample.RatingOnly {
		counts.Answers = 1
	}
	if sample.Failed {
		counts.Failed = 1
	}
	if sample.Rated {
		counts.Rated = 1
		if !sample.Accepted {
			counts.Below = 1
		}
	}
	if sample.Took > 0 && !sample.Failed {
		counts.Timed, counts.Slow = m.compareLatency(sample)
	}
	return counts
}

// compareLatency counts an answer as slow by the usual time of the old version.
func (m *Monitor) compareLatency(sample *dispatch.Sample) (timed, slow uint64) {
	rollout := m.activeRollout(sample.Rollout)
	if rollout == nil {
		return 0, 0
	}
	key := meanKey{rollout: sample.Rollout, kind: sample.Kind}
	value, found := m.meanTimes.Load(key)
	if !found {
		if sample.VersionID == rollout.From {
			first := &atomic.Int64{}
			first.Store(int64(sample.Took))
			m.meanTimes.LoadOrStore(key, first)
		}
		return 0, 0
	}
	shared := value.(*atomic.Int64)
	mean := shared.Load()
	if sample.VersionID == rollout.From {
		shared.Store(mean + int64(meanWeight*float64(int64(sample.Took)-mean)))
	}
	if int64(sample.Took) > slowFactor*mean {
		return 1, 1
	}
	return 1, 0
}

// activeRollout returns the active roll-out of the given ID, or nil.
func (m *Monitor) activeRollout(id string) *document.Rollout {
	index := m.current()
	if index == nil {
		return nil
	}
	rollouts := index.Document().Rollouts
	for i := range rollouts {
		if rollouts[i].ID == id && rollouts[i].Stage == document.RolloutActive {
			return &rollouts[i]
		}
	}
	return nil
}

// evaluate halts the roll-out where its new version is worse.
func (m *Monitor) evaluate(id string) {
	rollout := m.activeRollout(id)
	if rollout == nil || m.Halted(id) {
		return
	}
	newArm := Arm{Rollout: id, VersionID: rollout.To}
	cause := m.detector(id).regressionCause(m, Arm{Rollout: id, VersionID: rollout.From}, newArm)
	if cause == "" {
		return
	}
	halt := Halt{Arm: newArm, Cause: cause, Instance: m.instance}
	if m.addHalt(halt) && m.recorder != nil {
		m.recorder.RecordHalt(halt)
	}
}

// sharedDetector is a Detector under a lock.
type sharedDetector struct {
	mu       sync.Mutex
	detector Detector
}

// regressionCause reads the counts under the lock, so that they never shrink.
func (d *sharedDetector) regressionCause(m *Monitor, oldArm, newArm Arm) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.RegressionCause(m.pooled(oldArm), m.pooled(newArm), m.now())
}

func (m *Monitor) detector(id string) *sharedDetector {
	if d, ok := m.detectors.Load(id); ok {
		return d.(*sharedDetector)
	}
	d, _ := m.detectors.LoadOrStore(id, &sharedDetector{})
	return d.(*sharedDetector)
}

func (m *Monitor) pooled(arm Arm) Counts {
	state := m.arm(arm)
	state.mu.Lock()
	defer state.mu.Unlock()
	sum := state.own
	for _, counts := range state.peers {
		sum.Add(counts)
	}
	return sum
}

// addHalt reports whether the halt was not known before.
func (m *Monitor) addHalt(halt Halt) bool {
	m.haltMu.Lock()
	defer m.haltMu.Unlock()
	known := *m.halts.Load()
	if _, ok := known[halt.Arm]; ok {
		return false
	}
	grown := maps.Clone(known)
	grown[halt.Arm] = halt
	m.halts.Store(&grown)
	haltCount.Add(1)
	logrus.WithFields(logrus.Fields{"rollout": halt.Rollout, "version": halt.VersionID, "cause": halt.Cause, "found_by": halt.Instance}).Warn("roll-out halted; new work goes to the old version")
	return true
}

// Halted implements dispatch.Learner. It takes no lock.
func (m *Monitor) Halted(rolloutID string) bool {
	for arm := range *m.halts.Load() {
		if arm.Rollout == rolloutID {
			return true
		}
	}
	return false
}

// Export returns what this instance counted and all halts that it knows.
func (m *Monitor) Export() Digest {
	var digest Digest
	m.arms.Range(func(key, value any) bool {
		state := value.(*armState)
		state.mu.Lock()
		counts := state.own
		state.mu.Unlock()
		if counts != (Counts{}) {
			digest.Counts = append(digest.Counts, ArmCounts{Arm: key.(Arm), Counts: counts})
		}
		return true
	})
	digest.Halts = slices.Collect(maps.Values(*m.halts.Load()))
	return digest
}

// Merge takes over the digest of another instance. The name must change with
// every start of that instance.
func (m *Monitor) Merge(instance string, digest Digest) {
	if instance == m.instance {
		return
	}
	for _, halt := range digest.Halts {
		m.addHalt(halt)
	}
	changed := map[string]bool{}
	for _, share := range digest.Counts {
		state := m.arm(share.Arm)
		state.mu.Lock()
		counts := state.peers[instance]
		counts.Join(share.Counts)
		state.peers[instance] = counts
		state.mu.Unlock()
		changed[share.Arm.Rollout] = true
	}
	for id := range changed {
		m.evaluate(id)
	}
}
