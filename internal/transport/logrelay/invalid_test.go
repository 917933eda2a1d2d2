package logrelay_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/keyedlog"
	"medlarslip/internal/standin/invalidresponse"
	"medlarslip/internal/transport/logrelay"
)

// TestInvalidResponseIsNoPage guards against records that are read from an invalid response of a peer.
func TestInvalidResponseIsNoPage(t *testing.T) {
	invalidresponse.Check(t, false, "", `{}`, func(address string) error {
		pool := invalidresponse.NewPool()
		defer pool.Close()
		page, err := (&logrelay.Client{Pool: pool}).Fetch(t.Context(), address, "topic", keyedlog.Position{})
		must.Eq(t, err != nil, page == nil)
		return err
	}, func(err error) bool { return !errors.Is(err, keyedlog.ErrNotKept) })
}
