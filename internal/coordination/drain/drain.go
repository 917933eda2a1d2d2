// Package drain carries out the planned stop of an entry instance, by which no
// request is cut.
package drain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Steps are the parts of an instance that take part in a planned stop.
type Steps struct {
	// Leave takes the instance out of the entries answer.
	Leave func()
	// Shutdown ends the callers' server once its last request is answered,
	// at the latest when ctx ends.
	Shutdown func(ctx context.Context) error
	// PropagationTime is how long other instances may go on naming this one in
	// their entries answers.
	PropagationTime time.Duration
	// EntriesTTL is how long callers may keep an entries answer.
	EntriesTTL time.Duration
	// LongestRequest is how long the last request may take.
	LongestRequest time.Duration
}

// Drainer carries out one planned stop.
type Drainer struct {
	steps   Steps
	closing atomic.Bool
}

// New returns a drainer that has not begun.
func New(steps Steps) *Drainer { return &Drainer{steps: steps} }

// Closing reports whether connections should end after their request.
func (d *Drainer) Closing() bool { return d.closing.Load() }

// Run leaves the entries answer at once, serves on until no caller can hold
// an answer that names this instance, and then waits for the last request.
func (d *Drainer) Run(ctx context.Context) error {
	logrus.Info("planned stop: left the entries answer")
	d.steps.Leave()
	d.closing.Store(true)
	select {
	case <-time.After(d.steps.PropagationTime + d.steps.EntriesTTL):
	case <-ctx.Done():
	}
	logrus.Info("planned stop: waiting for the last request")
	ctx, cancel := context.WithTimeout(ctx, d.steps.LongestRequest)
	defer cancel()
	return d.steps.Shutdown(ctx)
}
