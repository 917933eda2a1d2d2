package losses_test

import (
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

func TestLineThatIsTooLongIsAnError(t *testing.T) {
	var report losses.Report
	must.ErrorContains(t, report.Read(strings.NewReader(strings.Repeat("x", 2<<20))), "split lines")
}
