package drain_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/drain"
)

func TestRunKeepsServingWhileCallersMayCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var left, shut time.Duration
		steps := drain.Steps{
			Leave:           func() { left = time.Since(start) },
			Shutdown:        func(context.Context) error { shut = time.Since(start); return nil },
			PropagationTime: 3 * time.Second,
			EntriesTTL:      10 * time.Second,
			LongestRequest:  time.Minute,
		}
		d := drain.New(steps)
		must.False(t, d.Closing())
		must.NoError(t, d.Run(context.Background()))
		must.True(t, d.Closing())
		must.Eq(t, 0, left)
		must.Eq(t, 13*time.Second, shut)
	})
}

func TestRunWaitsNoLongerThanTheLongestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		d := drain.New(drain.Steps{
			Leave: func() {},
			Shutdown: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			EntriesTTL:     10 * time.Second,
			LongestRequest: time.Minute,
		})
		err := d.Run(context.Background())
		must.True(t, errors.Is(err, context.DeadlineExceeded))
		must.Eq(t, 70*time.Second, time.Since(start))
	})
}
