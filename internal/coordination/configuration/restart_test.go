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

// appendAll appends records to the configuration stream, one at a time.
func appendAll(t must.T, service *logservice.Service, all ...records.Configuration) {
	for _, record := range all {
		_, err := service.Append(context.Background(), platform.StreamConfiguration, []json.RawMessage{rawRecord(t, record)})
		must.NoError(t, err)
	}
}

// chain returns documents that follow on one another.
func chain(t must.T, count int) []*signed.Envelope {
	envelopes := make([]*signed.Envelope, 0, count)
	var base *signed.Envelope
	for i := range count {
		base = seal(t, "anna", base, int64(i))
		envelopes = append(envelopes, base)
	}
	return envelopes
}

func TestRestartTakesUpNoReplacedDocument(t *testing.T) {
	docs := chain(t, 40)
	service := logservice.New(0)
	for _, doc := range docs {
		appendAll(t, service, records.Configuration{Envelope: *doc})
	}
	store := configuration.NewStore(keysOf("anna"))
	follower := configuration.NewFollower(store, service)
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("only a part of the log is read"))
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, 40, store.Current().Envelope.Number)
}

func TestLateSnapshotTakesUpNoReplacedDocument(t *testing.T) {
	docs := chain(t, 3)
	service := logservice.New(0)
	appendAll(t, service, records.Configuration{Envelope: *docs[0]}, records.Configuration{Envelope: *docs[1]}, records.Configuration{Envelope: *docs[2]})
	service.Trim(platform.StreamConfiguration, 1)
	store := configuration.NewStore(keysOf("anna"))
	follower := configuration.NewFollower(store, service)
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("what was decided is not known"))
	// A paused writer repeats the first document, which was in force at
	// offset 1, after the second and third were accepted.
	appendAll(t, service, records.Configuration{Envelope: *docs[0], Snapshot: true, AsOf: 1})
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Nil(t, store.Current(), must.Sprint("two later documents are still to be read"))
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, 3, store.Current().Envelope.Number)
}

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
