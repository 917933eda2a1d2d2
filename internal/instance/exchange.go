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
	// outcomeInterval and acceptancePause are the times for each live entry
	// instance that pass between two digests of one instance, so that the
	// traffic at one instance does not grow with the fleet.
	outcomeInterval    = 100 * time.Millisecond
	acceptanceInterval = time.Second
	// minOutcomeInterval and shortestAcceptancePause bound them from below.
	minOutcomeInterval    = time.Second
	minAcceptanceInterval = 10 * time.Second
)

// outcomes is what one instance spreads about roll-outs. Counters begin again
// with each run of an instance, so the run is part of the name.
type outcomes struct {
	Name   string         `cbor:"1,keyasint"`
	Digest rollout.Digest `cbor:"2,keyasint"`
}

// acceptances is what one instance spreads about cascades.
type acceptances struct {
	Instance string              `cbor:"1,keyasint"`
	Shares   []cascade.KeyCounts `cbor:"2,keyasint"`
}

// publishLearned spreads what this instance learned until ctx ends. A halt that it
// found goes out at once.
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
	shares := a.decisions.acceptance.Export()
	if len(shares) == 0 {
		return
	}
	value, err := cbor.Marshal(acceptances{Instance: a.settings.Instance, Shares: shares})
	if err == nil {
		a.gossip.Publish(gossip.KindAcceptances, a.settings.Instance, value, 0, false)
	}
}

// mergeLearned takes over what another instance learned.
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
			a.decisions.acceptance.Merge(received.Instance, received.Shares)
		}
	}
}

// RecordHalt implements rollout.Recorder: it has the halt spread at once and
// writes it to the audit trail.
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
