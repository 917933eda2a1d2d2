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
	// outcomePause and acceptancePause are the times for each live entry
	// instance that pass between two digests of one instance, so that the
	// traffic at one instance does not grow with the fleet.
	outcomePause    = 100 * time.Millisecond
	acceptancePause = time.Second
	// shortestOutcomePause and shortestAcceptancePause bound them from below.
	shortestOutcomePause    = time.Second
	shortestAcceptancePause = 10 * time.Second
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

// exchange spreads what this instance learned until ctx ends. A halt that it
// found goes out at once.
func (a *assembly) exchange(ctx context.Context) error {
	outcome, acceptance := time.NewTimer(shortestOutcomePause), time.NewTimer(shortestAcceptancePause)
	defer outcome.Stop()
	defer acceptance.Stop()
	for {
		select {
		case <-outcome.C:
			a.spreadOutcomes(false)
			outcome.Reset(max(time.Duration(len(a.members.EntryIDs()))*outcomePause, shortestOutcomePause))
		case <-acceptance.C:
			a.spreadAcceptances()
			acceptance.Reset(max(time.Duration(len(a.members.EntryIDs()))*acceptancePause, shortestAcceptancePause))
		case <-a.decisions.halted:
			a.spreadOutcomes(true)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *assembly) spreadOutcomes(urgent bool) {
	digest := a.decisions.monitor.Export()
	if len(digest.Counts)+len(digest.Halts) == 0 {
		return
	}
	value, err := cbor.Marshal(outcomes{Name: a.settings.Instance + "/" + a.incarnation, Digest: digest})
	if err == nil {
		a.gossip.Publish(gossip.KindOutcomes, a.settings.Instance, value, 0, urgent)
	}
}

func (a *assembly) spreadAcceptances() {
	shares := a.decisions.acceptance.Export()
	if len(shares) == 0 {
		return
	}
	value, err := cbor.Marshal(acceptances{Instance: a.settings.Instance, Shares: shares})
	if err == nil {
		a.gossip.Publish(gossip.KindAcceptances, a.settings.Instance, value, 0, false)
	}
}

// onLearned takes over what another instance learned.
func (a *assembly) onLearned(entry gossip.Entry) {
	switch entry.Kind {
	case gossip.KindOutcomes:
		var spread outcomes
		if cbor.Unmarshal(entry.Value, &spread) == nil {
			a.decisions.monitor.Merge(spread.Name, spread.Digest)
		}
	case gossip.KindAcceptances:
		var spread acceptances
		if cbor.Unmarshal(entry.Value, &spread) == nil && spread.Instance != a.settings.Instance {
			a.decisions.acceptance.Merge(spread.Instance, spread.Shares)
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
