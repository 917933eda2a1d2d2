package logclient_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/standin/invalidresponse"
	"medlarslip/internal/transport/logclient"
)

// TestInvalidResponseIsNoAppend guards against an append that counts as done because of an invalid response.
func TestInvalidResponseIsNoAppend(t *testing.T) {
	for _, size := range []int{4 << 10, 8 << 20} {
		record := json.RawMessage(`"` + strings.Repeat("a", size) + `"`)
		invalidresponse.Check(t, true, "", `{"first_offset":7}`, func(address string) error {
			pool := invalidresponse.NewPool()
			defer pool.Close()
			_, err := logclient.New(address, pool).Append(t.Context(), stream, []json.RawMessage{record})
			return err
		}, func(err error) bool { return errors.Is(err, eventlog.ErrAppendUnknown) })
	}
}

// TestInvalidResponseIsNoPage guards against records that are read from an invalid response.
func TestInvalidResponseIsNoPage(t *testing.T) {
	invalidresponse.Check(t, false, "", `{"records":[]}`, func(address string) error {
		pool := invalidresponse.NewPool()
		defer pool.Close()
		page, err := logclient.New(address, pool).Read(t.Context(), stream, 0, 1, 0)
		must.Eq(t, err != nil, page == nil)
		return err
	}, func(err error) bool { return errors.Is(err, eventlog.ErrUnavailable) })
}
