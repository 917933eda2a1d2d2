package rollout

import (
	"time"

	"medlarslip/internal/protocol/document"
)

// stalledAfter is the time without an answer of the new version, while the old
// one answers, after which a rollout is considered stalled.
const stalledAfter = 10 * time.Minute

// Status is the state of one rollout as reported to operators.
type Status struct {
	Rollout document.Rollout `json:"rollout"`
	// Halt is set once the rollout is halted automatically.
	Halt *Halt `json:"halt,omitempty"`
	// Stalled is the reason why the rollout makes no progress; empty if it makes
	// progress.
	Stalled string `json:"stalled,omitempty"`
	Old     Counts `json:"old"`
	New     Counts `json:"new"`
}

// Reasons why a rollout makes no progress.
const (
	StalledNoServer  = "no backend server serves the new version; check the servers' orders and the weight store"
	StalledNoAnswers = "the old version answers and the new one does not; check its servers, its share and who may use it"
	StalledNoShare   = "the share is 0; raise it or remove the roll-out"
)

// Statuses returns the states of the rollouts of the document in force. serving
// returns the number of backend servers that serve a version.
func (m *Monitor) Statuses(serving func(versionID string) int) []Status {
	index := m.current()
	if index == nil {
		return nil
	}
	var statuses []Status
	for _, rollout := range index.Document().Rollouts {
		status := Status{
			Rollout: rollout,
			Old:     m.pooled(Arm{Rollout: rollout.ID, VersionID: rollout.From}),
			New:     m.pooled(Arm{Rollout: rollout.ID, VersionID: rollout.To}),
		}
		if halt, ok := (*m.halts.Load())[Arm{Rollout: rollout.ID, VersionID: rollout.To}]; ok {
			status.Halt = &halt
		}
		if rollout.Stage == document.RolloutActive && status.Halt == nil {
			status.Stalled = m.stalled(&rollout, serving)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (m *Monitor) stalled(rollout *document.Rollout, serving func(versionID string) int) string {
	if serving(rollout.To) == 0 {
		return StalledNoServer
	}
	if rollout.SharePercent == 0 {
		return StalledNoShare
	}
	oldAt := m.lastAt(Arm{Rollout: rollout.ID, VersionID: rollout.From})
	newAt := m.lastAt(Arm{Rollout: rollout.ID, VersionID: rollout.To})
	now := m.now()
	if now.Sub(oldAt) < stalledAfter && !newAt.IsZero() && now.Sub(newAt) >= stalledAfter {
		return StalledNoAnswers
	}
	return ""
}

func (m *Monitor) lastAt(arm Arm) time.Time {
	state := m.arm(arm)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.lastAt
}
