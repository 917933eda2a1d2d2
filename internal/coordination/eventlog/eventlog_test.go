package eventlog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

const stream = "test"

// item is a record of the tests.
type item struct {
	Writer records.Writer `json:"writer"`
	Value  int            `json:"value"`
}

func write(w *eventlog.Writer, value int) error {
	return w.Write(func(writer records.Writer) (json.RawMessage, error) {
		return json.Marshal(item{Writer: writer, Value: value})
	})
}

// collector keeps what a follower delivers.
type collector struct {
	items []item
	gaps  []string
}

func (c *collector) Record(_ int64, raw json.RawMessage) {
	var it item
	_ = json.Unmarshal(raw, &it)
	c.items = append(c.items, it)
}

func (c *collector) Gap(from, to int64) { c.gaps = append(c.gaps, fmt.Sprintf("%d-%d", from, to)) }

// values returns the values that one writer wrote, in the order read.
func (c *collector) values(instance string) []int {
	values := []int{}
	for _, it := range c.items {
		if it.Writer.Instance == instance {
			values = append(values, it.Value)
		}
	}
	return values
}

// readAll reads a stream with small pages to its end.
func readAll(t must.T, log eventlog.Log, limit int) *collector {
	c := &collector{}
	follower := eventlog.NewFollower(log, stream, c, eventlog.FollowerOptions{ReadLimit: limit})
	for {
		must.NoError(t, follower.Step(context.Background(), 0))
		if follower.CaughtUp() {
			return c
		}
	}
}

// TestWriterNeverLosesOrDuplicatesRecords draws faults for each call of two
// writers on one stream, and appends that arrive after their writer gave up.
func TestWriterNeverLosesOrDuplicatesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := logservice.New(0)
		var late [][]json.RawMessage
		faults := rapid.SampledFrom([]logservice.Fault{
			logservice.FaultNone, logservice.FaultNone, logservice.FaultRefuse, logservice.FaultLoseAnswer,
			logservice.FaultLoseRequest, logservice.FaultDuplicate, logservice.FaultGarbage, logservice.FaultServerError,
		})
		service.OnAppend(func(_ string, batch []json.RawMessage) logservice.Fault {
			fault := faults.Draw(t, "append fault")
			if fault == logservice.FaultLoseRequest {
				late = append(late, batch)
			}
			return fault
		})
		service.OnRead(func(string, int64) logservice.Fault {
			return rapid.SampledFrom([]logservice.Fault{logservice.FaultNone, logservice.FaultNone, logservice.FaultRefuse}).Draw(t, "read fault")
		})
		writers := map[string]*eventlog.Writer{}
		for _, name := range []string{"a", "b"} {
			writers[name] = eventlog.NewWriter(service, stream, name, "1", eventlog.WriterOptions{MaxBatch: 3})
		}
		written := map[string][]int{"a": {}, "b": {}}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				_ = writers[name].Flush(context.Background())
			case 1:
				if len(late) > 0 {
					deliverLate(service, late[0])
					late = late[1:]
				}
			default:
				must.NoError(t, write(writers[name], step))
				written[name] = append(written[name], step)
			}
		}
		service.OnAppend(nil)
		service.OnRead(nil)
		for name, writer := range writers {
			// A batch in doubt that is not found is reported once.
			_ = writer.Flush(context.Background())
			must.NoError(t, writer.Flush(context.Background()))
			must.Zero(t, writer.Pending())
			for _, batch := range late {
				deliverLate(service, batch)
			}
			got := readAll(t, service, rapid.IntRange(1, 7).Draw(t, "limit"))
			must.Eq(t, written[name], got.values(name))
		}
	})
}

// deliverLate carries out the effect of an append that was lost on its way.
func deliverLate(service *logservice.Service, batch []json.RawMessage) {
	service.OnAppend(nil)
	_, _ = service.Append(context.Background(), stream, batch)
}

func TestWriterSearchesForLostAppendBeforeRetry(t *testing.T) {
	cases := []struct {
		name    string
		fault   logservice.Fault
		appends int
	}{
		{"answer lost", logservice.FaultLoseAnswer, 1},
		{"garbage", logservice.FaultGarbage, 1},
		{"request lost", logservice.FaultLoseRequest, 1},
		{"server error", logservice.FaultServerError, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service := logservice.New(0)
			writer := eventlog.NewWriter(service, stream, "a", "1", eventlog.WriterOptions{})
			must.NoError(t, write(writer, 1))
			service.OnAppend(func(string, []json.RawMessage) logservice.Fault { return tc.fault })
			_ = writer.Flush(context.Background())
			service.OnAppend(nil)
			must.NoError(t, writer.Flush(context.Background()))
			must.Zero(t, writer.Pending())
			must.Eq(t, tc.appends, service.Appends())
		})
	}
}

func TestWriterBoundsPendingBytes(t *testing.T) {
	service := logservice.New(0)
	service.SetOutage(true)
	writer := eventlog.NewWriter(service, stream, "a", "1", eventlog.WriterOptions{MaxPendingBytes: 500})
	count := 0
	for write(writer, count) == nil {
		count++
	}
	must.ErrorIs(t, write(writer, count), eventlog.ErrFull)
	must.ErrorIs(t, writer.Flush(context.Background()), eventlog.ErrNotAppended)
	service.SetOutage(false)
	must.NoError(t, writer.Flush(context.Background()))
	must.Len(t, count, readAll(t, service, 100).items)
	must.NoError(t, write(writer, count))
}

func TestOutageOfAnHourIsSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(0)
		var reads atomic.Int64
		var running sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		got := &collector{}
		follower := eventlog.NewFollower(service, stream, got, eventlog.FollowerOptions{})
		writer := eventlog.NewWriter(service, stream, "a", "1", eventlog.WriterOptions{})
		running.Go(func() { _ = follower.Run(ctx) })
		running.Go(func() { _ = writer.Run(ctx) })
		service.SetOutage(true)
		service.OnRead(func(string, int64) logservice.Fault {
			reads.Add(1)
			return logservice.FaultRefuse
		})
		for minute := range 60 {
			must.NoError(t, write(writer, minute))
			time.Sleep(time.Minute)
		}
		must.Between(t, 600, reads.Load(), 4000)
		must.Eq(t, 60, writer.Pending())
		service.SetOutage(false)
		time.Sleep(2*eventlog.MaxBackoff + eventlog.DefaultReadWait)
		cancel()
		running.Wait()
		must.Len(t, 60, got.items)
		must.Zero(t, writer.Pending())
	})
}

func TestFollowerReportsGapsOnceAndContinues(t *testing.T) {
	service := logservice.New(0)
	writer := eventlog.NewWriter(service, stream, "a", "1", eventlog.WriterOptions{MaxBatch: 1})
	fill := func(from, to int) {
		for value := from; value < to; value++ {
			must.NoError(t, write(writer, value))
		}
		must.NoError(t, writer.Flush(context.Background()))
	}
	fill(0, 10)
	service.Trim(stream, 2)
	got := &collector{}
	follower := eventlog.NewFollower(service, stream, got, eventlog.FollowerOptions{ReadLimit: 3})
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, []int{2, 3, 4}, got.values("a"))
	fill(10, 20)
	service.Trim(stream, 18)
	must.NoError(t, follower.Step(context.Background(), 0))
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Eq(t, []int{2, 3, 4, 18, 19}, got.values("a"))
	must.Eq(t, []string{"0-2", "5-18"}, got.gaps)
	must.True(t, follower.CaughtUp())
}

func TestFollowerRejectsTruncatedLog(t *testing.T) {
	full, short := logservice.New(0), logservice.New(0)
	for range 3 {
		_, err := full.Append(context.Background(), stream, []json.RawMessage{json.RawMessage(`{}`)})
		must.NoError(t, err)
	}
	current := &switchedLog{Log: full}
	got := &collector{}
	follower := eventlog.NewFollower(current, stream, got, eventlog.FollowerOptions{})
	must.NoError(t, follower.Step(context.Background(), 0))
	current.Log = short
	must.ErrorIs(t, follower.Step(context.Background(), 0), eventlog.ErrInconsistent)
	current.Log = full
	must.NoError(t, follower.Step(context.Background(), 0))
	must.Len(t, 3, got.items)
}

// switchedLog is a log that a test replaces by another.
type switchedLog struct{ eventlog.Log }

func TestFleetKeepsItsAppendBudget(t *testing.T) {
	const instances, seconds = 41, 600
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(0)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range instances {
			budget := eventlog.NewBudget(func() int { return instances })
			writer := eventlog.NewWriter(service, stream, fmt.Sprint(i), "1", eventlog.WriterOptions{Budget: budget, Linger: time.Millisecond})
			running.Go(func() { _ = writer.Run(ctx) })
			running.Go(func() {
				for value := 0; ctx.Err() == nil; value++ {
					_ = write(writer, value)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(seconds * time.Second)
		appends := service.Appends()
		must.Between(t, eventlog.SharedAppendsPerSecond*seconds*9/10, appends, eventlog.SharedAppendsPerSecond*seconds+instances)
		cancel()
		running.Wait()
	})
}
