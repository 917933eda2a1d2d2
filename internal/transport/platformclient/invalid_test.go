package platformclient_test

import (
	"errors"
	"testing"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/invalidresponse"
	"medlarslip/internal/transport/platformclient"
)

func unavailable(err error) bool { return errors.Is(err, platformclient.ErrUnavailable) }

// TestInvalidResponseIsNoInstanceList guards against instances that are read from an invalid response.
func TestInvalidResponseIsNoInstanceList(t *testing.T) {
	invalidresponse.Check(t, false, "", `{}`, func(address string) error {
		pool := invalidresponse.NewPool()
		defer pool.Close()
		_, err := platformclient.New(address, address, pool).Instances(t.Context())
		return err
	}, unavailable)
}

// TestInvalidResponseIsNoRating guards against a rating that is read from an invalid response.
func TestInvalidResponseIsNoRating(t *testing.T) {
	invalidresponse.Check(t, true, "", `{"request_id":"r","score":0.5}`, func(address string) error {
		pool := invalidresponse.NewPool()
		defer pool.Close()
		_, err := platformclient.New(address, address, pool).Rate(t.Context(), &platform.RatingRequest{RequestID: "r"})
		return err
	}, unavailable)
}
