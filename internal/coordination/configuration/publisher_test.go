package configuration_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
)

func publisher(service *logservice.Service, operator string) *configuration.Publisher {
	return &configuration.Publisher{Log: service, Keys: keysOf("anna", "ben"), Operator: operator, Key: operatorKey(operator), Now: time.Now}
}

func TestConflictNamesTheWinnerAndItsChanges(t *testing.T) {
	ctx := context.Background()
	service := logservice.New(0)
	anna, ben := publisher(service, "anna"), publisher(service, "ben")
	first, err := anna.Publish(ctx, nil, documentWith(1), "first")
	must.NoError(t, err)
	won, err := anna.Publish(ctx, first, documentWith(2), "dearer")
	must.NoError(t, err)
	winner, err := ben.Publish(ctx, first, documentWith(3), "cheaper")
	must.ErrorIs(t, err, configuration.ErrConflict)
	must.StrContains(t, err.Error(), `document 2 by "anna" (dearer) is in force and changed models; yours, number 2, is rejected`)
	must.Eq(t, won.Hash, winner.Hash)
	again, err := ben.Publish(ctx, winner, documentWith(3), "cheaper")
	must.NoError(t, err)
	must.Eq(t, 3, again.Envelope.Number)
}

func TestPublishUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault logservice.Fault
		want  error
	}{
		{"down", logservice.FaultRefuse, eventlog.ErrNotAppended},
		{"answer lost", logservice.FaultLoseAnswer, nil},
		{"request lost once", logservice.FaultLoseRequest, nil},
		{"duplicate", logservice.FaultDuplicate, nil},
		{"garbage", logservice.FaultGarbage, nil},
		{"server error once", logservice.FaultServerError, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service := logservice.New(0)
			faults := []logservice.Fault{tc.fault}
			service.OnAppend(func(string, []json.RawMessage) logservice.Fault {
				if len(faults) == 0 {
					return logservice.FaultNone
				}
				fault := faults[0]
				faults = faults[1:]
				return fault
			})
			_, err := publisher(service, "anna").Publish(context.Background(), nil, documentWith(1), "first")
			must.ErrorIs(t, err, tc.want)
			current, err := publisher(service, "ben").Load(context.Background())
			must.NoError(t, err)
			must.Eq(t, tc.want == nil, current != nil)
		})
	}
}

func TestPublishRefusesAKeyThatIsNotTheOperators(t *testing.T) {
	service := logservice.New(0)
	mallory := publisher(service, "anna")
	mallory.Key = operatorKey("mallory")
	_, err := mallory.Publish(context.Background(), nil, documentWith(1), "first")
	must.ErrorIs(t, err, signed.ErrBadSignature)
	must.Zero(t, service.Appends())
}
