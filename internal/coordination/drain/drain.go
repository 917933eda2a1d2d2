// Package drain performs the graceful shutdown of an entry instance, in which
// requests in flight are completed.
package drain

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Steps holds the hooks and the times of a graceful shutdown.
type Steps struct {
	// Leave removes the instance from the entries answer, which lists the
	// instances that callers may use.
	Leave func()
	// Shutdown stops the server for callers once its last request is answered,
	// at the latest when ctx ends.
	Shutdown func(ctx context.Context) error
	// PropagationTime is how long other instances may still list this one in
	// their entries answers after Leave.
	PropagationTime time.Duration
	// EntriesTTL is how long callers may cache an entries answer.
	EntriesTTL time.Duration
	// LongestRequest is the maximum duration of a request, and so the timeout
	// of Shutdown.
	LongestRequest time.Duration
}

// Drainer performs one graceful shutdown.
type Drainer struct {
	steps   Steps
	closing atomic.Bool
}

// New returns a Drainer; Run starts the shutdown.
func New(steps Steps) *Drainer { return &Drainer{steps: steps} }

// Closing reports whether connections must be closed after their current
// request.
func (d *Drainer) Closing() bool { return d.closing.Load() }

// Run removes the instance from the entries answer at once, keeps serving until
// no caller can have cached an answer that lists it, and then waits for the last
// request. If ctx ends, it waits no longer. The error is that of Shutdown.
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
