package losses_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/losses"
)

const log = `
not a line of ours
12.3 front-1 {"event":"request_ended","time":"10:00:01.000","route":"a","outcome":"answered","attempts":"answered"}
{"event":"request_ended","time":"10:00:05.000","route":"a","outcome":"answered","attempts":"weak,answered","late":"first_event"}
{"event":"request_ended","time":"10:00:03.000","route":"a","outcome":"answered","attempts":"weak,answered","late":"first_event"}
{"event":"request_ended","time":"10:00:06.000","route":"b","outcome":"answered","attempts":"unknown,weak,answered","late":"answer"}
{"event":"request_ended","time":"10:00:07.000","route":"b","outcome":"timeout","attempts":"unknown"}
{"event":"request_refused","time":"10:00:08.000","cause":"no_configuration"}
{"event":"answer_weak","time":"10:00:08.000"}
`

func TestReportNamesCauses(t *testing.T) {
	var report losses.Report
	must.NoError(t, report.Read(strings.NewReader(log)))
	must.Eq(t, 6, report.Requests)
	must.Eq(t, 1, report.AnsweredInTime)
	var out strings.Builder
	must.NoError(t, report.Write(&out))
	lines := strings.Split(out.String(), "\n")
	must.StrContains(t, lines[2], "2         33.33%  late: first_event, after a weak answer")
	must.StrContains(t, lines[2], "10:00:03.000  10:00:05.000  a")
	must.StrContains(t, out.String(), "late: answer, after a server that failed")
	must.StrContains(t, out.String(), "ended: timeout")
	must.StrContains(t, out.String(), "refused: no_configuration")
}

// TestReportNamesLackOfCapacity guards against late and refused requests under pressure that are
// attributed to servers.
func TestReportNamesLackOfCapacity(t *testing.T) {
	var report losses.Report
	must.NoError(t, report.Read(strings.NewReader(`
{"event":"request_ended","outcome":"answered","attempts":"answered","late":"answer","queued_ms":40}
{"event":"request_ended","outcome":"answered","attempts":"answered","late":"answer","queued_ms":40,"excess":true}
{"event":"request_ended","outcome":"answered","attempts":"answered","late":"answer","excess":true}
{"event":"request_ended","outcome":"no_capacity","excess":true}
{"event":"request_ended","outcome":"no_capacity"}
{"event":"request_ended","outcome":"answered","queued_ms":40}
`)))
	must.Eq(t, 1, report.AnsweredInTime)
	var out strings.Builder
	must.NoError(t, report.Write(&out))
	for _, cause := range []string{
		"late: answer, waited for capacity  ", "late: answer, waited for capacity, above the share of its account  ",
		"late: answer, above the share of its account  ", "ended: no_capacity, above the share of its account  ", "ended: no_capacity  ",
	} {
		must.StrContains(t, out.String(), cause)
	}
}

// TestReportDescribesSizes guards against requests of a route and class that are left out, and against
// errors of predictions from requests that waited or ran more than once, whose times in the log do
// not begin with the predicted run.
func TestReportDescribesSizes(t *testing.T) {
	lines := []string{
		`{"event":"request_ended","route":"a","outcome":"no_capacity","status":503,"size":"largest"}`,
		`{"event":"request_ended","route":"a","outcome":"timeout","status":504,"size":"largest"}`,
		`{"event":"request_ended","route":"a","outcome":"answered","attempts":"answered","status":200,"size":"largest","first_ms":900,"predicted_first_ms":300,"late":"first_event"}`,
		`{"event":"request_ended","route":"a","outcome":"answered","attempts":"weak,answered","status":200,"size":"largest","first_ms":950,"predicted_first_ms":10,"late":"first_event"}`,
		`{"event":"request_ended","route":"a","outcome":"answered","attempts":"answered","status":200,"size":"largest","first_ms":960,"predicted_first_ms":10,"queued_ms":5,"late":"first_event"}`,
		`{"event":"request_ended","route":"b","outcome":"answered","attempts":"answered","status":200,"size":"middle","took_ms":40,"predicted_first_ms":10,"predicted_ms":20}`,
		`{"event":"request_ended","route":"b","outcome":"answered","attempts":"answered","status":200,"took_ms":7}`,
	}
	for i := range 100 {
		lines = append(lines, fmt.Sprintf(`{"event":"request_ended","route":"a","outcome":"answered","attempts":"answered","status":200,"size":"smallest","first_ms":%d,"predicted_first_ms":100}`, i+1))
	}
	var report losses.Report
	must.NoError(t, report.Read(strings.NewReader(strings.Join(lines, "\n"))))
	var out strings.Builder
	must.NoError(t, report.Write(&out))
	_, sizes, found := strings.Cut(out.String(), "\n\n")
	must.True(t, found)
	rows := strings.Split(strings.TrimSpace(sizes), "\n")[1:]
	for i, want := range []string{
		"a smallest 100 100 0 0 51 ms 91 ms 100 ms 0.11 0.51 0.91 100",
		"a largest 5 0 3 1 950 ms 960 ms 960 ms 3.00 3.00 3.00 1",
		"b middle 1 1 0 0 40 ms 40 ms 40 ms 2.00 2.00 2.00 1",
		"b - 1 1 0 0 7 ms 7 ms 7 ms - - - 0",
	} {
		must.Eq(t, want, strings.Join(strings.Fields(rows[i]), " "))
	}
	must.SliceLen(t, 4, rows)
}

// TestReportWithoutSizes guards against a change of the report of instances that choose servers by load.
func TestReportWithoutSizes(t *testing.T) {
	var report losses.Report
	must.NoError(t, report.Read(strings.NewReader(log)))
	var out strings.Builder
	must.NoError(t, report.Write(&out))
	must.StrNotContains(t, out.String(), "actual/predicted")
}

func TestLineThatIsTooLongIsAnError(t *testing.T) {
	var report losses.Report
	must.ErrorContains(t, report.Read(strings.NewReader(strings.Repeat("x", 2<<20))), "split lines")
}
