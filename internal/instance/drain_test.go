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
	"medlarslip/internal/standin/localfleet"
)

// discoveringCaller reads the list of entries from the system, caches it for its
// time to live, and sends requests to the listed entries.
type discoveringCaller struct {
	entries []string
	expires time.Time
	turn    int
}

func (c *discoveringCaller) entry() (string, error) {
	if time.Now().After(c.expires) {
		if err := c.refresh(); err != nil {
			return "", err
		}
	}
	c.turn++
	return c.entries[c.turn%len(c.entries)], nil
}

func (c *discoveringCaller) refresh() error {
	r, err := localfleet.Call(c.entries[c.turn%len(c.entries)], fasthttp.MethodGet, entries.Path, "", "")
	if err != nil {
		return err
	}
	var answer entries.Answer
	if err := json.Unmarshal([]byte(r.Body), &answer); err != nil {
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

// send sends one request and checks that its answer is complete.
func (c *discoveringCaller) send(kind, number int) error {
	address, err := c.entry()
	if err != nil {
		return err
	}
	const kinds = 3
	switch kind % kinds {
	case 0:
		return checkWhole(localfleet.Call(address, fasthttp.MethodPost, "/v1/chat/completions", localfleet.ChatBody(false), ""))
	case 1:
		return checkStream(localfleet.Call(address, fasthttp.MethodPost, "/v1/chat/completions", localfleet.ChatBody(true), ""))
	default:
		return checkBooking(localfleet.Call(address, fasthttp.MethodPost, "/v1/services/ledger/bookings", "{}", fmt.Sprintf("k-%d-%d", kind, number)))
	}
}

func checkWhole(r *localfleet.Reply, err error) error {
	if err != nil {
		return err
	}
	want := strings.Join(engineserver.Tokens(r.Version, localfleet.AnswerTokens), "")
	if r.Status != fasthttp.StatusOK || !strings.Contains(r.Body, want) {
		return fmt.Errorf("status %d, body %s", r.Status, r.Body)
	}
	return nil
}

func checkStream(r *localfleet.Reply, err error) error {
	if err != nil {
		return err
	}
	last := engineserver.Tokens(r.Version, localfleet.AnswerTokens)[localfleet.AnswerTokens-1]
	if r.Status != fasthttp.StatusOK || !strings.Contains(r.Body, last) || !strings.HasSuffix(r.Body, "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, body %s", r.Status, r.Body)
	}
	return nil
}

func checkBooking(r *localfleet.Reply, err error) error {
	if err != nil {
		return err
	}
	if r.Status != fasthttp.StatusCreated {
		return fmt.Errorf("status %d, body %s", r.Status, r.Body)
	}
	return nil
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := localfleet.New(t)
	first := f.Start("entry-1")
	f.Start("entry-2")
	defer f.StopAll()

	const callers = 12
	var wg sync.WaitGroup
	var finished atomic.Bool
	var answered atomic.Int64
	failures := make(chan error, callers)
	for kind := range callers {
		wg.Go(func() {
			caller := &discoveringCaller{entries: []string{first.Callers}}
			for number := 0; !finished.Load(); number++ {
				if err := caller.send(kind, number); err != nil {
					failures <- err
					return
				}
				answered.Add(1)
			}
		})
	}
	// The stop begins while all callers are sending requests.
	for answered.Load() < callers && len(failures) == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, f.Stop("entry-1"))
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
	_, err := localfleet.Call(first.Callers, fasthttp.MethodGet, entries.Path, "", "")
	must.Error(t, err)
}

func TestBookingRunsOnceThroughEveryEntry(t *testing.T) {
	f := localfleet.New(t)
	addresses := []string{f.Start("entry-1").Callers, f.Start("entry-2").Callers, f.Start("entry-3").Callers}
	defer f.StopAll()
	const keys = 20
	var wg sync.WaitGroup
	for key := range keys {
		for _, address := range addresses {
			wg.Go(func() {
				_, err := localfleet.Call(address, fasthttp.MethodPost, "/v1/services/ledger/bookings", "{}", fmt.Sprintf("key-%d", key))
				must.NoError(t, err)
			})
		}
	}
	wg.Wait()
	for key := range keys {
		must.Eq(t, 1, f.Ledger.Count(fmt.Sprintf("key-%d", key)))
	}
}
