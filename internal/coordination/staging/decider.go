package staging

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
)

const (
	// decideInterval is how often roll-outs are looked at.
	decideInterval = 300 * time.Millisecond
	// failoverDelay is how long each instance waits for the one before it.
	failoverDelay = time.Second
)

// Decider has agreed what is to be agreed of roll-outs. The first instance does
// so; the others take over when it does not. Agree must refuse what contradicts
// an agreement that this instance does not know yet.
type Decider struct {
	Controller *Controller
	// Ready reports whether this instance may decide.
	Ready func() bool
	// Rank is the place of this instance among those that may decide.
	Rank func() int
	// Serving returns the number of servers of a version that take requests.
	Serving func(service, version string) int
	// Agree makes a status known to all instances and to the operator.
	Agree func(ctx context.Context, status Status) error
	Log   *logrus.Entry
}

// Run decides until ctx ends.
func (d *Decider) Run(ctx context.Context) error {
	pause.Every(ctx, decideInterval, func() { d.tick(ctx) })
	return nil
}

func (d *Decider) tick(ctx context.Context) {
	if !d.Ready() {
		return
	}
	delay := time.Duration(d.Rank()) * failoverDelay
	for _, decision := range d.Controller.Decide(d.Serving) {
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
	if err := d.Agree(ctx, status); err != nil {
		entry.WithError(err).Warn("status of a roll-out was not agreed yet")
		return
	}
	entry.Info("status of a roll-out is agreed")
	d.Controller.SetStatus(status)
}
