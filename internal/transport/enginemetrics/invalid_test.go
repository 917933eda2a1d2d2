package enginemetrics

import (
	"errors"
	"testing"

	"medlarslip/internal/standin/invalidresponse"
)

// TestInvalidResponseIsNoLoad guards against a server that counts as healthy, or a load that is taken from an
// invalid response.
func TestInvalidResponseIsNoLoad(t *testing.T) {
	calls := map[string]func(c *Client, address string) error{
		"health": func(c *Client, address string) error { return c.Healthy(t.Context(), address) },
		"load": func(c *Client, address string) error {
			_, err := c.Load(t.Context(), address)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			invalidresponse.Check(t, false, "", nameRunning+" 3\n", func(address string) error {
				pool := invalidresponse.NewPool()
				defer pool.Close()
				return call(New(pool), address)
			}, func(err error) bool { return errors.Is(err, ErrUnreachable) })
		})
	}
}
