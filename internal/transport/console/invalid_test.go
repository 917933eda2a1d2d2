package console

import (
	"errors"
	"testing"

	"medlarslip/internal/standin/invalidresponse"
)

// TestInvalidResponseIsNoStatus guards against a status or metrics that are shown from an invalid response.
func TestInvalidResponseIsNoStatus(t *testing.T) {
	calls := map[string]func(c StatusReader, address string) error{
		"status": func(c StatusReader, address string) error {
			_, err := c.Status(t.Context(), address)
			return err
		},
		"metrics": func(c StatusReader, address string) error {
			_, err := c.Metrics(t.Context(), address)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			invalidresponse.Check(t, false, "", `{}`, func(address string) error {
				pool := invalidresponse.NewPool()
				defer pool.Close()
				return call(NewStatusClient(pool), address)
			}, func(err error) bool { return errors.Is(err, errNoStatus) })
		})
	}
}
