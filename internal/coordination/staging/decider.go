package staging

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
)

const (
	// decideInterval is the time between two evaluations of the rollouts.
	decideInterval = 300 * time.Millisecond
	// failoverDelay is how long each instance waits for the instance ranked
	// before it.
	failoverDelay = time.Second
)

// Decider has the statuses of rollouts agreed. The first-ranked instance
// proposes them; the next ones take over after a delay. Agree must reject a
// status that contradicts an agreement which this instance has not received
// yet.
type Decider struct {
	Controller *Controller
	// Ready reports whether this instance may decide.
	Ready func() bool
	// Rank is the rank of this instance, from 0, among those that may decide.
	Rank func() int
	// Serving returns the number of servers of a version that accept requests.
	Serving func(service, version string) int
	// Agree publishes a status to all instances and to the operator, and the history of the
	// versions of its service to all instances.
	Agree func(ctx context.Context, status Status, versions Versions) error
	// Lost returns the agreed statuses that have been lost and must be published
	// again; nil means none.
	Lost func() []Decision
	Log  *logrus.Entry
}

// Run evaluates the rollouts until ctx ends. It always returns nil.
func (d *Decider) Run(ctx context.Context) error {
	pause.Every(ctx, decideInterval, func() { d.tick(ctx) })
	return nil
}

func (d *Decider) tick(ctx context.Context) {
	d.Controller.ObserveServers(d.Serving)
	if !d.Ready() {
		return
	}
	delay := time.Duration(d.Rank()) * failoverDelay
	decisions := d.Controller.Decide(d.Serving)
	for _, held := range d.Controller.takeHeldBack(delay) {
		d.Log.WithFields(logrus.Fields{
			"event": "rollout_held_back", "service": held.Status.Service, "target": held.Status.Target,
			"reason": held.Reason, "old": held.Old, "new": held.New,
		}).Warn("version is not promoted while its counts are evidence that it is worse")
	}
	if d.Lost != nil {
		decisions = append(decisions, d.Lost()...)
	}
	for _, decision := range decisions {
		if d.Controller.now().Sub(decision.Due) >= delay {
			d.agree(ctx, &decision)
		}
	}
}

func (d *Decider) agree(ctx context.Context, decision *Decision) {
	status := decision.Status
	entry := d.Log.WithFields(logrus.Fields{
		"event": "rollout_decided", "service": status.Service, "target": status.Target,
		"state": status.State, "reason": decision.Reason, "old": decision.Old, "new": decision.New,
	})
	versions := d.Controller.Versions(status)
	if err := d.Agree(ctx, status, versions); err != nil {
		entry.WithError(err).Warn("rollout status is not agreed yet")
		return
	}
	entry.Info("rollout status agreed")
	d.Controller.SetStatus(status)
	d.Controller.SetVersions(versions)
}
