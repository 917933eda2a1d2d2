package instance

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/rollout"
)

const (
	// outcomeInterval and acceptanceInterval, multiplied by the number of live
	// entry instances, are the intervals at which one instance publishes its
	// digests. The traffic at one instance thus does not grow with the fleet.
	outcomeInterval    = 100 * time.Millisecond
	acceptanceInterval = time.Second
	// minOutcomeInterval and minAcceptanceInterval are the lower bounds of the
	// resulting intervals.
	minOutcomeInterval    = time.Second
	minAcceptanceInterval = 10 * time.Second
)

// outcomes is what one instance publishes about rollouts. Its counters start at
// zero in each incarnation of the instance, so Name contains the incarnation.
type outcomes struct {
	Name   string         `cbor:"1,keyasint"`
	Digest rollout.Digest `cbor:"2,keyasint"`
}

// acceptances is what one instance publishes about cascades.
type acceptances struct {
	Instance string              `cbor:"1,keyasint"`
	Counts   []cascade.KeyCounts `cbor:"2,keyasint"`
}

// publishLearned publishes what this instance has learned until ctx ends. A halt
// that it has detected is published at once.
func (a *assembly) publishLearned(ctx context.Context) error {
	outcome, acceptance := time.NewTimer(minOutcomeInterval), time.NewTimer(minAcceptanceInterval)
	defer outcome.Stop()
	defer acceptance.Stop()
	for {
		select {
		case <-outcome.C:
			a.publishOutcomes(false)
			outcome.Reset(max(time.Duration(len(a.members.EntryIDs()))*outcomeInterval, minOutcomeInterval))
		case <-acceptance.C:
			a.publishAcceptances()
			acceptance.Reset(max(time.Duration(len(a.members.EntryIDs()))*acceptanceInterval, minAcceptanceInterval))
		case <-a.decisions.halted:
			a.publishOutcomes(true)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *assembly) publishOutcomes(urgent bool) {
	digest := a.decisions.monitor.Export()
	if len(digest.Counts)+len(digest.Halts) == 0 {
		return
	}
	value, err := cbor.Marshal(outcomes{Name: a.settings.Instance + "/" + a.incarnation, Digest: digest})
	if err == nil {
		a.gossip.Publish(gossip.KindOutcomes, a.settings.Instance, value, 0, urgent)
	}
}

func (a *assembly) publishAcceptances() {
	counts := a.decisions.acceptance.Export()
	if len(counts) == 0 {
		return
	}
	value, err := cbor.Marshal(acceptances{Instance: a.settings.Instance, Counts: counts})
	if err == nil {
		a.gossip.Publish(gossip.KindAcceptances, a.settings.Instance, value, 0, false)
	}
}

// mergeLearned merges what another instance has learned.
func (a *assembly) mergeLearned(entry gossip.Entry) {
	switch entry.Kind {
	case gossip.KindOutcomes:
		var received outcomes
		if cbor.Unmarshal(entry.Value, &received) == nil {
			a.decisions.monitor.Merge(received.Name, received.Digest)
		}
	case gossip.KindAcceptances:
		var received acceptances
		if cbor.Unmarshal(entry.Value, &received) == nil && received.Instance != a.settings.Instance {
			a.decisions.acceptance.Merge(received.Instance, received.Counts)
		}
	}
}

// RecordHalt implements rollout.Recorder. It writes the halt to the audit trail
// and has it published at once.
func (d *decisions) RecordHalt(halt rollout.Halt) {
	if d.trail != nil {
		d.trail.Record(audit.Change{
			Action:  "halt",
			Subject: halt.Rollout + "/" + halt.VersionID,
			Reason:  "the new version is worse by " + halt.Cause,
		})
	}
	select {
	case d.halted <- struct{}{}:
	default:
	}
}
