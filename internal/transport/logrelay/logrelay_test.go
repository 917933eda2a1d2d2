package logrelay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/keyedlog"
	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/logrelay"
)

// recordBytes is the size of the only record of the store.
const recordBytes = 100_000

// store has one record.
type store struct{ keyedlog.Store }

func (store) Newest(context.Context, string) (*keyedlog.Page, error) {
	return &keyedlog.Page{Records: []keyedlog.Record{{Key: "k", Value: make([]byte, recordBytes)}}, Next: 1, End: 1}, nil
}

func (store) Read(ctx context.Context, _ string, _ int64, wait time.Duration) (*keyedlog.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(max(wait, time.Second)):
	}
	return &keyedlog.Page{Next: 1, End: 1}, ctx.Err()
}

// reader ignores the records.
type reader struct{}

func (reader) Replace([]keyedlog.Record) {}
func (reader) Merge([]keyedlog.Record)   {}
func (reader) Apply(keyedlog.Record)     {}
func (reader) CaughtUp()                 {}

// recorder records what was counted while the response was written.
type recorder struct {
	*httptest.ResponseRecorder
	budget  *clientmemory.Budget
	counted int64
}

func (r *recorder) Write(b []byte) (int, error) {
	r.counted = r.budget.Used()
	return r.ResponseRecorder.Write(b)
}

// Clients that ask for records and don't read the response must not hold uncounted memory: each may ask for a
// whole topic.
func TestResponsesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		always := func() bool { return true }
		follower := keyedlog.New(keyedlog.Options{
			Store: store{}, Topic: "topic", Leads: always, Probes: always, Reader: reader{}, Changed: func() {}, Log: logrus.NewEntry(logger), Wait: time.Second,
		})
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		must.True(t, follower.Loaded())
		server := &logrelay.Server{Topic: func(string) *keyedlog.Follower { return follower }}
		for _, limit := range []int64{10 * recordBytes, recordBytes} {
			budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: limit} }, time.Now)
			holding, err := budget.NewGroup(func() int { return 0 }).Open("a", func(clientmemory.Phase) {})
			must.NoError(t, err)
			before := budget.Used()
			w := &recorder{ResponseRecorder: httptest.NewRecorder(), budget: budget}
			request := httptest.NewRequest(http.MethodGet, "/records?topic=topic&from=-1", nil)
			server.ServeHTTP(w, request.WithContext(clientmemory.NewContext(request.Context(), holding)))
			must.Eq(t, before, budget.Used())
			if limit == recordBytes {
				must.Eq(t, http.StatusServiceUnavailable, w.Code)
				continue
			}
			must.Eq(t, http.StatusOK, w.Code)
			must.GreaterEq(t, int64(recordBytes), w.counted)
		}
		cancel()
		must.NoError(t, <-ended)
	})
}
