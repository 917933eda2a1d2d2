package quarantine_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/quarantine"
)

// TestNoQuarantineIsReportedOnceKnown guards against an instance that has just started and does
// not read the stored quarantines, since a peer reported that there are none although it has not
// loaded them, or has one.
func TestNoQuarantineIsReportedOnceKnown(t *testing.T) {
	s := newSimulation(1, 2, 0)
	first, second := s.instances[0], s.instances[1]
	must.Nil(t, first.AddNone(first.Report()))
	// A report of the previous build does not state it.
	second.Merge(&quarantine.Report{})
	must.False(t, second.StoredKnown())
	first.Load(quarantine.PromptPart, []quarantine.Key{badPart})
	first.Loaded()
	must.True(t, first.StoredKnown())
	second.Merge(first.AddNone(first.Report()))
	must.False(t, second.StoredKnown())
	must.NotNil(t, second.BlockedMeanwhile(withParts(badPart)))
	first.Answered(withParts(badPart))
	second.Merge(first.AddNone(first.Report()))
	must.True(t, second.StoredKnown())
}
