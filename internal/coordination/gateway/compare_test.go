package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// TestTimesAtLessLoadAreNotLearned guards against good versions that count as slow, since they are
// compared with times that the old version has while a trial leaves its servers less load.
func TestTimesAtLessLoadAreNotLearned(t *testing.T) {
	const within = 20 * time.Second
	now := time.Unix(1000, 0)
	controller := staging.New(func() float64 { return 0.1 }, func() time.Time { return now })
	controller.ObserveVersions("app", []string{"v1"})
	now = now.Add(time.Minute)
	g, baseline := &Gateway{Options: Options{Staging: controller}}, rollout.NewBaselineTimes()
	compare := func(version string, took time.Duration) comparison {
		a := attempt{gateway: g, req: &request{service: "app"}, choice: &selection{snapshot: backends.Snapshot{Server: backends.Server{Version: version}}}}
		a.compareTime(baseline, took, 1)
		return a.compared
	}
	for range 400 {
		compare("v1", 300*time.Millisecond)
	}
	controller.SetOrder(staging.Order{Service: "app", Target: "v2", Within: within})
	controller.ObserveServers(func(string, string) int { return 3 })
	now = now.Add(within - 2*time.Second)
	for range 400 {
		compare("v1", 100*time.Millisecond)
	}
	must.False(t, compare("v2", 300*time.Millisecond).slow)
}
