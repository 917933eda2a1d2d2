package logclient_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/platformserver"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
)

const stream = "contract"

// implementation is one implementation of eventlog.Log.
type implementation struct {
	name string
	open func(t *testing.T, service *logservice.Service) eventlog.Log
}

// implementations are tested against the contract of eventlog.Log.
var implementations = []implementation{
	{"in memory", func(_ *testing.T, service *logservice.Service) eventlog.Log { return service }},
	{"over HTTP", overHTTP},
}

func overHTTP(t *testing.T, service *logservice.Service) eventlog.Log {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: platformserver.New(service, nil).Handle, CloseOnShutdown: true}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(func() {
		pool.Close()
		must.NoError(t, server.Shutdown())
		must.NoError(t, <-done)
	})
	return logclient.New(listener.Addr().String(), pool)
}

// forEachImplementation runs a test against every implementation, each with a
// new service.
func forEachImplementation(t *testing.T, test func(t *testing.T, service *logservice.Service, log eventlog.Log)) {
	for _, impl := range implementations {
		t.Run(impl.name, func(t *testing.T) {
			service := logservice.New(0)
			log := impl.open(t, service)
			t.Cleanup(service.Release)
			test(t, service, log)
		})
	}
}

func numberedRecords(from, count int) []json.RawMessage {
	records := make([]json.RawMessage, count)
	for i := range records {
		records[i], _ = json.Marshal(from + i)
	}
	return records
}

func TestAppendUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   logservice.Fault
		want    error
		appends int64
	}{
		{"none", logservice.FaultNone, nil, 1},
		{"down", logservice.FaultRefuse, eventlog.ErrNotAppended, 0},
		{"answer lost after the effect", logservice.FaultLoseAnswer, eventlog.ErrAppendUnknown, 1},
		{"request lost", logservice.FaultLoseRequest, eventlog.ErrAppendUnknown, 0},
		{"duplicate", logservice.FaultDuplicate, nil, 2},
		{"garbage", logservice.FaultGarbage, eventlog.ErrAppendUnknown, 1},
		{"server error", logservice.FaultServerError, eventlog.ErrAppendUnknown, 0},
		{"slow", logservice.FaultHold, eventlog.ErrAppendUnknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			forEachImplementation(t, func(t *testing.T, service *logservice.Service, log eventlog.Log) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				service.OnAppend(func(string, []json.RawMessage) logservice.Fault {
					if tc.fault == logservice.FaultHold {
						cancel() // ends the call while the answer is held back
					}
					return tc.fault
				})
				offset, err := log.Append(ctx, stream, numberedRecords(0, 2))
				must.ErrorIs(t, err, tc.want)
				must.Zero(t, offset)
				service.OnAppend(nil)
				page, err := service.Read(context.Background(), stream, 0, 10, 0)
				must.NoError(t, err)
				must.Eq(t, 2*tc.appends, page.Next)
			})
		})
	}
}

func TestReadUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault logservice.Fault
	}{
		{"down", logservice.FaultRefuse},
		{"garbage", logservice.FaultGarbage},
		{"server error", logservice.FaultServerError},
		{"slow", logservice.FaultHold},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			forEachImplementation(t, func(t *testing.T, service *logservice.Service, log eventlog.Log) {
				_, err := service.Append(context.Background(), stream, numberedRecords(0, 3))
				must.NoError(t, err)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				service.OnRead(func(string, int64) logservice.Fault {
					if tc.fault == logservice.FaultHold {
						cancel()
					}
					return tc.fault
				})
				_, err = log.Read(ctx, stream, 0, 10, 0)
				must.ErrorIs(t, err, eventlog.ErrUnavailable)
				service.OnRead(nil)
				page, err := log.Read(context.Background(), stream, 0, 10, 0)
				must.NoError(t, err)
				must.Len(t, 3, page.Records)
			})
		})
	}
}

func TestReadPagesOffsetsAndGaps(t *testing.T) {
	cases := []struct {
		name        string
		from, first int64
		limit, want int
	}{
		{"first page", 3, 3, 2, 2},
		{"last page", 8, 8, 5, 2},
		{"gap through retention", 0, 3, 4, 4},
		{"at the end", 10, 10, 4, 0},
		{"beyond the end", 12, 10, 4, 0},
	}
	forEachImplementation(t, func(t *testing.T, service *logservice.Service, log eventlog.Log) {
		first, err := log.Append(context.Background(), stream, numberedRecords(0, 6))
		must.NoError(t, err)
		must.Zero(t, first)
		first, err = log.Append(context.Background(), stream, numberedRecords(6, 4))
		must.NoError(t, err)
		must.Eq(t, 6, first)
		service.Trim(stream, 3)
		for _, tc := range cases {
			page, err := log.Read(context.Background(), stream, tc.from, tc.limit, 0)
			must.NoError(t, err)
			must.Eq(t, []int64{3, 10, tc.first}, []int64{page.Oldest, page.Next, page.FirstOffset}, must.Sprint(tc.name))
			must.SliceEqFunc(t, page.Records, numberedRecords(int(tc.first), tc.want), func(a, b json.RawMessage) bool { return string(a) == string(b) })
		}
	})
}

func TestReadWaitsForTheNextRecord(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, service *logservice.Service, log eventlog.Log) {
		waiting := make(chan struct{}, 1)
		service.OnRead(func(string, int64) logservice.Fault {
			select {
			case waiting <- struct{}{}:
			default:
			}
			return logservice.FaultNone
		})
		go func() {
			<-waiting
			_, _ = service.Append(context.Background(), stream, numberedRecords(7, 1))
		}()
		page, err := log.Read(context.Background(), stream, 0, 10, 10*time.Second)
		must.NoError(t, err)
		must.Len(t, 1, page.Records)
	})
}
