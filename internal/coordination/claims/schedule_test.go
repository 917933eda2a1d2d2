package claims_test

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/serviceserver"
)

func TestMain(m *testing.M) {
	// fasthttp starts a goroutine for its clock with the first response. That
	// goroutine must not belong to a synctest bubble.
	warm := &fleet{service: serviceserver.New(), sent: map[string]int{}}
	_, _, _ = warm.post("request", "key")
	_ = warm.readStatus("key")
	os.Exit(m.Run())
}

const (
	keysInSchedule  = 2
	nodesInSchedule = 3
	settleTime      = 40 * time.Second
	scheduleCount   = 3000
)

// arrival is one request of a schedule.
type arrival struct {
	at   time.Duration
	node int
	key  int
}

// schedule holds the requests and faults of one random run.
type schedule struct {
	arrivals  []arrival
	appends   []logservice.Fault    // faults of the first appends, in order
	bookings  []serviceserver.Fault // faults of the first bookings, in order
	crash     int                   // index of the node that crashes; -1 for none
	crashAt   time.Duration
	outageAt  time.Duration
	outageFor time.Duration
	delayBy   time.Duration
	status    bool
	// answers is the limit of the memory of answers, or 0 for none.
	answers int64
}

func millis(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
}

func drawSchedule(t *rapid.T) *schedule {
	logFaults := []logservice.Fault{logservice.FaultNone, logservice.FaultNone, logservice.FaultRefuse, logservice.FaultLoseAnswer, logservice.FaultLoseRequest, logservice.FaultDelay}
	serviceFaults := []serviceserver.Fault{serviceserver.FaultNone, serviceserver.FaultNone, serviceserver.FaultRefuse, serviceserver.FaultLoseAnswer, serviceserver.FaultSlow}
	s := &schedule{
		appends:   rapid.SliceOfN(rapid.SampledFrom(logFaults), 0, 12).Draw(t, "appends"),
		bookings:  rapid.SliceOfN(rapid.SampledFrom(serviceFaults), 0, 4).Draw(t, "bookings"),
		crash:     rapid.IntRange(-1, nodesInSchedule-1).Draw(t, "crash"),
		crashAt:   millis(t, "crash at", 3000),
		outageAt:  millis(t, "outage at", 3000),
		outageFor: millis(t, "outage for", 3000),
		delayBy:   millis(t, "delay by", 8000),
		status:    rapid.Bool().Draw(t, "status query"),
	}
	for range rapid.IntRange(2, 7).Draw(t, "requests") {
		s.arrivals = append(s.arrivals, arrival{
			at:   millis(t, "at", 3000),
			node: rapid.IntRange(0, nodesInSchedule-1).Draw(t, "node"),
			key:  rapid.IntRange(0, keysInSchedule-1).Draw(t, "key"),
		})
	}
	return s
}

// run runs a schedule. It returns a description of the first violation, or "".
func (s *schedule) run() string {
	f := newLimitedFleet(nodesInSchedule, s.status, s.answers)
	defer time.Sleep(settleTime) // lets the last batches end
	defer f.close()
	f.log.DelayBy = s.delayBy
	f.service.SlowBy = 3 * time.Second
	start := time.Now()
	f.log.OnAppend(s.appendFaults(start))
	f.log.OnRead(func(string, int64) logservice.Fault {
		if s.inOutage(time.Since(start)) {
			return logservice.FaultRefuse
		}
		return logservice.FaultNone
	})
	f.service.OnBooking(s.bookingFaults())
	if s.crash >= 0 {
		time.AfterFunc(s.crashAt, func() { f.nodes[s.crash].crashed.Store(true) })
	}
	replies := make([]reply, len(s.arrivals))
	var group sync.WaitGroup
	for i, a := range s.arrivals {
		group.Go(func() {
			time.Sleep(a.at)
			if !f.nodes[a.node].crashed.Load() {
				replies[i] = f.nodes[a.node].book(fmt.Sprint("request-", i), fmt.Sprint("key-", a.key))
			}
		})
	}
	group.Wait()
	time.Sleep(settleTime)
	return s.verify(f, replies)
}

func (s *schedule) inOutage(since time.Duration) bool {
	return since >= s.outageAt && since < s.outageAt+s.outageFor
}

func (s *schedule) appendFaults(start time.Time) func(string, []json.RawMessage) logservice.Fault {
	count := 0
	return func(string, []json.RawMessage) logservice.Fault {
		count++
		if s.inOutage(time.Since(start)) {
			return logservice.FaultRefuse
		}
		if count > len(s.appends) {
			return logservice.FaultNone
		}
		return s.appends[count-1]
	}
}

func (s *schedule) bookingFaults() func(string) serviceserver.Fault {
	count := 0
	return func(string) serviceserver.Fault {
		count++
		if count > len(s.bookings) {
			return serviceserver.FaultNone
		}
		return s.bookings[count-1]
	}
}

// verify compares the replies to callers with the bookings at the service.
func (s *schedule) verify(f *fleet, replies []reply) string {
	for i, a := range s.arrivals {
		key, request := fmt.Sprint("key-", a.key), fmt.Sprint("request-", i)
		if count := f.service.Count(key); count > 1 {
			return fmt.Sprintf("%s was booked %d times", key, count)
		}
		if !replies[i].received {
			continue
		}
		switch replies[i].outcome() {
		case "answer":
			if f.service.Count(key) != 1 {
				return request + " was answered although nothing was booked"
			}
		case "not_run":
			if problem := s.verifyNotRun(f, i); problem != "" {
				return problem
			}
		}
	}
	return s.verifyLater(f)
}

// verifyNotRun checks that neither the request itself nor one that arrived
// before it made a booking.
func (s *schedule) verifyNotRun(f *fleet, i int) string {
	by := f.bookedBy(fmt.Sprint("key-", s.arrivals[i].key))
	for j, a := range s.arrivals {
		if by == fmt.Sprint("request-", j) && a.at <= s.arrivals[i].at {
			return fmt.Sprintf("request-%d received not_run although request-%d booked", i, j)
		}
	}
	return ""
}

// verifyLater repeats the calls through an instance that starts afterwards and
// has only the log.
func (s *schedule) verifyLater(f *fleet) string {
	f.log.OnAppend(nil)
	f.service.OnBooking(nil)
	late := f.start("entry-late")
	defer func() {
		late.stop()
		<-late.done
	}()
	time.Sleep(settleTime) // longer than any call lasts
	for k := range keysInSchedule {
		key := fmt.Sprint("key-", k)
		before := f.service.Count(key)
		got := late.book("late-"+key, key)
		if f.service.Count(key) > 1 {
			return key + " was booked again later"
		}
		switch {
		case before == 1 && got.outcome() == "not_run":
			return key + " received not_run later"
		case before == 1 && s.status && got.outcome() != "answer":
			return key + " stays " + got.outcome() + " although the status query finds it"
		case before == 0 && s.neverSent(f, k) && s.crash < 0 && got.outcome() != "answer":
			return key + " is blocked although it was never sent: " + got.refused.Error()
		}
	}
	return ""
}

func (s *schedule) neverSent(f *fleet, key int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range s.arrivals {
		if a.key == key && f.sent[fmt.Sprint("request-", i)] > 0 {
			return false
		}
	}
	return true
}

// oneProcessor runs a test with GOMAXPROCS set to 1. With several processors,
// the race detector of Go 1.26.8 crashes in its own stack depot in up to half
// of the runs, when timers of a synctest bubble start goroutines.
func oneProcessor(t *testing.T) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(processors) })
}

// TestBookingsUnderRandomFaults runs random schedules of requests, log and
// service faults, an outage and a crash. No booking may run twice, and every
// reply must be true.
func TestBookingsUnderRandomFaults(t *testing.T) {
	oneProcessor(t)
	generator := rapid.Custom(drawSchedule)
	synctest.Test(t, func(t *testing.T) {
		for seed := range scheduleCount {
			s := generator.Example(seed)
			must.Eq(t, "", s.run(), must.Sprintf("seed %d: %+v", seed, *s))
		}
	})
}

// TestBookingsWithDroppedAnswersUnderRandomFaults is the same where every answer is dropped from memory at once.
func TestBookingsWithDroppedAnswersUnderRandomFaults(t *testing.T) {
	oneProcessor(t)
	generator := rapid.Custom(drawSchedule)
	synctest.Test(t, func(t *testing.T) {
		for seed := range scheduleCount / 3 {
			s := generator.Example(seed)
			s.answers = 1
			must.Eq(t, "", s.run(), must.Sprintf("seed %d: %+v", seed, *s))
		}
	})
}

// TestCrashAtEveryPoint crashes an instance at each point of a booking, and
// repeats the request through another instance.
func TestCrashAtEveryPoint(t *testing.T) {
	oneProcessor(t)
	cases := []struct {
		point  string
		status bool
		want   string
		booked int
	}{
		{"before start", true, "answer", 1},
		{"after start", true, "unknown", 0},
		{"before send", true, "unknown", 0},
		{"after send", true, "answer", 1},
		{"after send", false, "unknown", 1},
		{"before done", true, "answer", 1},
		{"before done", false, "unknown", 1},
		{"after done", true, "answer", 1},
		{"after done", false, "answer", 1},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, status query %t", c.point, c.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2, c.status)
				defer time.Sleep(settleTime)
				defer f.close()
				time.Sleep(time.Second) // lets the nodes read the log
				f.nodes[0].crashPoint = c.point
				f.nodes[0].book("first", "key")
				must.True(t, f.nodes[0].crashed.Load())
				early := f.nodes[1].book("second", "key")
				time.Sleep(settleTime)
				late := f.nodes[1].book("third", "key")
				must.Eq(t, c.want, late.outcome())
				must.Eq(t, c.booked, f.service.Count("key"))
				must.NotEq(t, "not_run", early.outcome())
			})
		})
	}
}
