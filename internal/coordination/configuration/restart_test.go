package configuration_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
)

// appendAll appends records to the configuration stream, each in its own append.
func appendAll(t must.T, service *logservice.Service, all ...records.Configuration) {
	for _, record := range all {
		_, err := service.Append(context.Background(), platform.StreamConfiguration, []json.RawMessage{rawRecord(t, record)})
		must.NoError(t, err)
	}
}

// chain returns signed documents, each based on the one before it.
func chain(t must.T, count int) []*signed.Envelope {
	envelopes := make([]*signed.Envelope, 0, count)
	var base *signed.Envelope
	for i := range count {
		base = seal(t, "anna", base, int64(i))
		envelopes = append(envelopes, base)
	}
	return envelopes
}

// TestRestartTakesUpNoReplacedDocument guards against a restarted instance that
// puts an old document in force before it has read the log to its end.
func TestRestartTakesUpNoReplacedDocument(t *testing.T) {
	docs := chain(t, 40)
	service := logservice.New(0)
	for _, doc := range docs {
		appendAll(t, service, records.Configuration{Envelope: *doc})
	}
	store := configuration.NewStore(keysOf("anna"))
	follower := configuration.NewFollower(store, service)
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("the log was read only in part"))
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, 40, store.Current().Envelope.Number)
}

// TestLateSnapshotTakesUpNoReplacedDocument guards against a stale snapshot that
// puts a replaced document in force on an instance that has missed records.
func TestLateSnapshotTakesUpNoReplacedDocument(t *testing.T) {
	docs := chain(t, 3)
	service := logservice.New(0)
	appendAll(t, service, records.Configuration{Envelope: *docs[0]}, records.Configuration{Envelope: *docs[1]}, records.Configuration{Envelope: *docs[2]})
	service.Trim(platform.StreamConfiguration, 1)
	store := configuration.NewStore(keysOf("anna"))
	follower := configuration.NewFollower(store, service)
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("the position is unknown"))
	// A paused writer repeats the first document, which was in force at
	// offset 1, after the second and third were accepted.
	appendAll(t, service, records.Configuration{Envelope: *docs[0], Snapshot: true, AsOf: 1})
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("two later documents have not been read yet"))
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, 3, store.Current().Envelope.Number)
}

// TestSnapshotFromBeforeTheGapIsSkipped guards against a position recovered from
// a snapshot that doesn't include the records which retention removed.
func TestSnapshotFromBeforeTheGapIsSkipped(t *testing.T) {
	docs := chain(t, 3)
	service := logservice.New(0)
	appendAll(t, service, records.Configuration{Envelope: *docs[0]}, records.Configuration{Envelope: *docs[1]}, records.Configuration{Envelope: *docs[2]},
		records.Configuration{Envelope: *docs[0], Snapshot: true, AsOf: 1})
	service.Trim(platform.StreamConfiguration, 2)
	_, err := configuration.ReadToEnd(context.Background(), service, keysOf("anna"), nil)
	must.ErrorIs(t, err, configuration.ErrUndecided)
	appendAll(t, service, records.Configuration{Envelope: *docs[2], Snapshot: true, AsOf: 4})
	store, err := configuration.ReadToEnd(context.Background(), service, keysOf("anna"), nil)
	must.NoError(t, err)
	must.Eq(t, 3, store.Current().Envelope.Number)
}
