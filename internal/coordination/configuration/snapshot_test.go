package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

// runSnapshotters runs a fleet that follows the log and repeats its document.
func runSnapshotters(t *testing.T, service *logservice.Service, size int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range size {
		follower := configuration.NewFollower(configuration.NewStore(keysOf("anna")), service)
		budget := eventlog.NewBudget(func() int { return size })
		snapshots := configuration.NewSnapshotter(follower, service, budget, fmt.Sprint("entry-", i), "1")
		running.Go(func() { _ = follower.Run(ctx) })
		running.Go(func() { _ = snapshots.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func loadNumber(t *testing.T, service *logservice.Service) int64 {
	t.Helper()
	store, err := configuration.ReadToEnd(context.Background(), service, keysOf("anna"), nil)
	must.NoError(t, err)
	return store.Current().Envelope.Number
}

func TestFleetRepeatsTheDocumentBeforeItAgesOut(t *testing.T) {
	const retention = 3 * configuration.SnapshotInterval
	for _, size := range []int{1, 9, 41} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := logservice.New(0)
				appendAll(t, service, records.Configuration{Envelope: *chain(t, 1)[0]})
				defer runSnapshotters(t, service, size)()
				// Each round removes what is older than the retention time.
				ends := []int64{}
				for range 24 {
					time.Sleep(retention / 3)
					page, err := service.Read(context.Background(), platform.StreamConfiguration, 0, 1, 0)
					must.NoError(t, err)
					if ends = append(ends, page.Next); len(ends) > 3 {
						service.Trim(platform.StreamConfiguration, ends[len(ends)-4])
					}
					must.Eq(t, 1, loadNumber(t, service))
				}
				hours := 4
				must.Between(t, 3*hours, service.Appends(), 12*hours)
			})
		})
	}
}

func TestFleetRepeatsTheDocumentAfterAnOutageOutlastedRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(0)
		docs := chain(t, 2)
		appendAll(t, service, records.Configuration{Envelope: *docs[0]}, records.Configuration{Envelope: *docs[1]})
		defer runSnapshotters(t, service, 9)()
		time.Sleep(time.Second)
		service.SetOutage(true)
		time.Sleep(time.Hour)
		service.Trim(platform.StreamConfiguration, 2)
		// Reads come back first, so that nobody can have written a snapshot.
		service.OnRead(nil)
		_, err := configuration.ReadToEnd(context.Background(), service, keysOf("anna"), nil)
		must.ErrorIs(t, err, configuration.ErrUndecided)
		service.SetOutage(false)
		time.Sleep(time.Minute)
		must.Eq(t, 2, loadNumber(t, service))
	})
}

func TestPeerSuppliesThePositionThatRetentionRemoved(t *testing.T) {
	service := logservice.New(0)
	docs := chain(t, 3)
	appendAll(t, service, records.Configuration{Envelope: *docs[0]}, records.Configuration{Envelope: *docs[1]})
	network := &network{nodes: map[string]*node{}}
	old := network.start("old", 1, service, []string{"new"})
	must.NoError(t, old.follower.Step(context.Background(), 0))
	service.Trim(platform.StreamConfiguration, 2)
	fresh := network.start("new", 1, service, []string{"old"})
	fresh.spread.Pull(context.Background())
	must.Eq(t, 2, fresh.store.Current().Envelope.Number, must.Sprint("a new instance learns it from peers"))
	raw := rawRecord(t, records.Configuration{Envelope: *docs[2]})
	_, err := service.Append(context.Background(), platform.StreamConfiguration, []json.RawMessage{raw})
	must.NoError(t, err)
	must.NoError(t, fresh.follower.Step(context.Background(), 0))
	must.Eq(t, 3, fresh.store.Current().Envelope.Number)
}
