package instance_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/standin/engineserver"
)

// obedientCaller asks the system which entries to use, keeps the answer for
// its time to live, and connects there.
type obedientCaller struct {
	entries []string
	expires time.Time
	turn    int
}

func (c *obedientCaller) entry() (string, error) {
	if time.Now().After(c.expires) {
		if err := c.refresh(); err != nil {
			return "", err
		}
	}
	c.turn++
	return c.entries[c.turn%len(c.entries)], nil
}

func (c *obedientCaller) refresh() error {
	r, err := call(c.entries[c.turn%len(c.entries)], fasthttp.MethodGet, entries.Path, "", "")
	if err != nil {
		return err
	}
	var answer entries.Answer
	if err := json.Unmarshal([]byte(r.body), &answer); err != nil {
		return err
	}
	if len(answer.Entries) == 0 {
		return errors.New("no entries")
	}
	c.expires = time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
	c.entries = nil
	for _, entry := range answer.Entries {
		c.entries = append(c.entries, entry.Address)
	}
	return nil
}

// once sends one request and checks that its answer is whole.
func (c *obedientCaller) once(kind, number int) error {
	address, err := c.entry()
	if err != nil {
		return err
	}
	const kinds = 3
	switch kind % kinds {
	case 0:
		return checkWhole(call(address, fasthttp.MethodPost, "/v1/chat/completions", chatBody(false), ""))
	case 1:
		return checkStream(call(address, fasthttp.MethodPost, "/v1/chat/completions", chatBody(true), ""))
	default:
		return checkBooking(call(address, fasthttp.MethodPost, "/v1/services/ledger/bookings", "{}", fmt.Sprintf("k-%d-%d", kind, number)))
	}
}

func checkWhole(r *reply, err error) error {
	if err != nil {
		return err
	}
	want := strings.Join(engineserver.Tokens(r.version, answerTokens), "")
	if r.status != fasthttp.StatusOK || !strings.Contains(r.body, want) {
		return fmt.Errorf("status %d, body %s", r.status, r.body)
	}
	return nil
}

func checkStream(r *reply, err error) error {
	if err != nil {
		return err
	}
	last := engineserver.Tokens(r.version, answerTokens)[answerTokens-1]
	if r.status != fasthttp.StatusOK || !strings.Contains(r.body, last) || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, body %s", r.status, r.body)
	}
	return nil
}

func checkBooking(r *reply, err error) error {
	if err != nil {
		return err
	}
	if r.status != fasthttp.StatusCreated {
		return fmt.Errorf("status %d, body %s", r.status, r.body)
	}
	return nil
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	first := f.start("entry-1")
	f.start("entry-2")
	defer f.stopAll()

	const callers = 12
	var wg sync.WaitGroup
	var finished atomic.Bool
	var answered atomic.Int64
	failures := make(chan error, callers)
	for kind := range callers {
		wg.Go(func() {
			caller := &obedientCaller{entries: []string{first.callers}}
			for number := 0; !finished.Load(); number++ {
				if err := caller.once(kind, number); err != nil {
					failures <- err
					return
				}
				answered.Add(1)
			}
		})
	}
	// The stop begins while every caller is in the middle of its requests.
	for answered.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, f.stop("entry-1"))
	afterStop := answered.Load()
	for answered.Load() < afterStop+callers && len(failures) == 0 {
		time.Sleep(time.Millisecond)
	}
	finished.Store(true)
	wg.Wait()
	close(failures)
	for err := range failures {
		must.NoError(t, err)
	}
	_, err := call(first.callers, fasthttp.MethodGet, entries.Path, "", "")
	must.Error(t, err)
}

func TestBookingRunsOnceThroughEveryEntry(t *testing.T) {
	f := newFleet(t)
	addresses := []string{f.start("entry-1").callers, f.start("entry-2").callers, f.start("entry-3").callers}
	defer f.stopAll()
	const keys = 20
	var wg sync.WaitGroup
	for key := range keys {
		for _, address := range addresses {
			wg.Go(func() {
				_, err := call(address, fasthttp.MethodPost, "/v1/services/ledger/bookings", "{}", fmt.Sprintf("key-%d", key))
				must.NoError(t, err)
			})
		}
	}
	wg.Wait()
	for key := range keys {
		must.Eq(t, 1, f.ledger.Count(fmt.Sprintf("key-%d", key)))
	}
}
