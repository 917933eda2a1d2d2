package claims_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

// appendTime is the duration of one append in these benchmarks. Appends run one
// after the other, as in the platform's log.
const appendTime = 3 * time.Millisecond

// slowLog is a log whose appends take appendTime each.
type slowLog struct {
	*logservice.Service
	turn chan struct{}
}

// Append implements eventlog.Log.
func (l *slowLog) Append(ctx context.Context, stream string, raws []json.RawMessage) (int64, error) {
	l.turn <- struct{}{}
	time.Sleep(appendTime)
	<-l.turn
	return l.Service.Append(ctx, stream, raws)
}

// direct appends every record on its own, for comparison with batches.
type direct struct{ log *slowLog }

// Append implements claims.Appender.
func (d direct) Append(ctx context.Context, _ int, record json.RawMessage) error {
	_, err := d.log.Append(ctx, platform.StreamClaims, []json.RawMessage{record})
	return err
}

// batched appends records through a batcher.
type batched struct{ batcher *claims.Batcher }

// Append implements claims.Appender.
func (b batched) Append(ctx context.Context, _ int, record json.RawMessage) error {
	return b.batcher.Append(ctx, record)
}

// BenchmarkBooking measures complete bookings, claim and outcome, by many
// concurrent callers. With a batch of 0 every record is appended on its own.
func BenchmarkBooking(b *testing.B) {
	for _, callers := range []int{10, 30, 250} {
		for _, batch := range []int{0, 8, 64, 500} {
			b.Run(fmt.Sprintf("callers=%d/batch=%d", callers, batch), func(b *testing.B) {
				benchmarkBooking(b, callers, batch)
			})
		}
	}
}

func benchmarkBooking(b *testing.B, callers, batch int) {
	log := &slowLog{Service: logservice.New(0), turn: make(chan struct{}, 1)}
	var appender claims.Appender = direct{log}
	if batch > 0 {
		options := claims.DefaultBatchOptions()
		options.MaxRecords, options.PerSecond = batch, 0
		appender = batched{claims.NewBatcher(func(ctx context.Context, raws []json.RawMessage) error {
			_, err := log.Append(ctx, platform.StreamClaims, raws)
			return err
		}, options)}
	}
	coordinator := claims.New(log, appender, func(int) bool { return false }, "entry-1", "first")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = coordinator.Run(ctx) }()
	time.Sleep(10 * time.Millisecond)
	answer := &records.KeptAnswer{Status: 201, ContentType: "application/json", Body: []byte(`{"key":"key","number":1}`)}
	var number, refusals atomic.Int64
	b.SetParallelism(max(1, callers/10))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call := claims.Call{Account: "technicians", Key: fmt.Sprint("key-", number.Add(1)), Fingerprint: "f", Timeout: time.Second}
			_, refused := coordinator.Do(ctx, call, func(context.Context) (*records.KeptAnswer, bool, error) { return answer, true, nil })
			if refused != nil {
				refusals.Add(1)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bookings/s")
	b.ReportMetric(float64(log.Appends())/float64(b.N), "appends/booking")
	b.ReportMetric(float64(refusals.Load()), "refused")
}

// BenchmarkFollow measures reading claims and outcomes, which every instance
// does. It reports the bytes of one booking in the log, and the heap bytes of
// one key.
func BenchmarkFollow(b *testing.B) {
	log := logservice.New(0)
	total := 0
	for i := range b.N {
		for _, step := range []records.ClaimStep{records.ClaimStart, records.ClaimDone} {
			record := records.Claim{
				Writer: records.Writer{Instance: "entry-wdh-a-1", Incarnation: "d3k2v1q0nbtc73f5r2ig", Sequence: uint64(i)},
				Step:   step, Account: "technicians", Key: fmt.Sprintf("019aedcf-6b3a-7c3e-9f53-%012d", i), ClaimID: fmt.Sprintf("d3k2v1q0nbtc%08d", i),
				Fingerprint: "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c", Seen: int64(2 * i),
			}
			if step == records.ClaimDone {
				record.Answer = &records.KeptAnswer{Status: 201, ContentType: "application/json", Body: []byte(`{"key":"019aedcf-6b3a-7c3e-9f53-000000000001","number":1}`)}
			}
			raw, err := json.Marshal(record)
			if err != nil {
				b.Fatal(err)
			}
			total += len(raw)
			if _, err := log.Append(context.Background(), platform.StreamClaims, []json.RawMessage{raw}); err != nil {
				b.Fatal(err)
			}
		}
	}
	coordinator := claims.New(log, nil, func(int) bool { return false }, "entry-1", "first")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	go func() { _ = coordinator.Run(ctx) }()
	for coordinator.Position() < int64(2*b.N) {
		time.Sleep(100 * time.Microsecond)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heapbytes/key")
	runtime.KeepAlive(coordinator)
	b.ReportMetric(float64(total)/float64(b.N), "logbytes/booking")
}
