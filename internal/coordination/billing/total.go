package billing

import (
	"cmp"
	"encoding/json"
	"slices"

	"medlarslip/internal/protocol/records"
)

// Line is the bill of one client account for one version or plain service.
type Line struct {
	Account   string `json:"account"`
	VersionID string `json:"version_id"`
	// Steps counts the steps billed, and Failed those that gave no accepted
	// answer.
	Steps  int64 `json:"steps"`
	Failed int64 `json:"failed"`
	Tokens int64 `json:"tokens"`
	Micros int64 `json:"micros"`
}

// Gap is a range of sequence numbers of one writer that the log does not hold.
type Gap struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	First       uint64 `json:"first"`
	Last        uint64 `json:"last"`
}

// Report is the bill of a stretch of the log.
type Report struct {
	Requests int64  `json:"requests"`
	Lines    []Line `json:"lines"`
	// Repeats counts the records dropped because their request was billed.
	Repeats int64 `json:"repeats"`
	// Unreadable counts the records that are no bills.
	Unreadable int64 `json:"unreadable"`
	Gaps       []Gap `json:"gaps"`
	// FirstOffset is the lowest offset read; bills below it were removed by
	// retention. Next is the offset behind the last record read.
	FirstOffset int64 `json:"first_offset"`
	Next        int64 `json:"next"`
}

// Totals adds up bills. It is not safe for concurrent use.
type Totals struct {
	report    Report
	lines     map[lineID]*Line
	billed    map[string]struct{}
	sequences map[writerID]map[uint64]struct{}
}

type lineID struct{ account, versionID string }

// resultAccepted is the result of a step whose answer was given.
const resultAccepted = "accepted"

// NewTotals returns totals of nothing.
func NewTotals() *Totals {
	return &Totals{lines: map[lineID]*Line{}, billed: map[string]struct{}{}, sequences: map[writerID]map[uint64]struct{}{}}
}

// Add takes the next record of the billing stream.
func (t *Totals) Add(raw json.RawMessage) {
	var bill records.Bill
	if err := json.Unmarshal(raw, &bill); err != nil || bill.RequestID == "" {
		t.report.Unreadable++
		return
	}
	t.recordSequence(bill.Writer)
	if _, repeated := t.billed[bill.RequestID]; repeated {
		t.report.Repeats++
		return
	}
	t.billed[bill.RequestID] = struct{}{}
	t.report.Requests++
	for _, step := range bill.Steps {
		t.addStep(bill.Account, step)
	}
}

func (t *Totals) recordSequence(writer records.Writer) {
	id := writerID{writer.Instance, writer.Incarnation}
	if t.sequences[id] == nil {
		t.sequences[id] = map[uint64]struct{}{}
	}
	t.sequences[id][writer.Sequence] = struct{}{}
}

func (t *Totals) addStep(account string, step records.BillStep) {
	id := lineID{account, step.VersionID}
	line := t.lines[id]
	if line == nil {
		line = &Line{Account: account, VersionID: step.VersionID}
		t.lines[id] = line
	}
	line.Steps++
	line.Tokens += step.Tokens
	line.Micros += step.Micros
	if step.Result != resultAccepted {
		line.Failed++
	}
}

// Report returns the bill of what was added. Offsets are those that were read.
func (t *Totals) Report(firstOffset, end int64) *Report {
	report := t.report
	report.FirstOffset, report.Next = firstOffset, end
	report.Lines = []Line{}
	for _, line := range t.lines {
		report.Lines = append(report.Lines, *line)
	}
	slices.SortFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.VersionID, b.VersionID))
	})
	report.Gaps = t.gaps()
	return &report
}

// gaps finds the numbers missing below the highest of each writer. Numbers
// begin at 1; what an instance still holds is above the highest.
func (t *Totals) gaps() []Gap {
	gaps := []Gap{}
	for id, sequences := range t.sequences {
		sorted := make([]uint64, 0, len(sequences))
		for sequence := range sequences {
			sorted = append(sorted, sequence)
		}
		slices.Sort(sorted)
		expected := uint64(1)
		for _, sequence := range sorted {
			if sequence > expected {
				gaps = append(gaps, Gap{Instance: id.instance, Incarnation: id.incarnation, First: expected, Last: sequence - 1})
			}
			expected = sequence + 1
		}
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.First, b.First))
	})
	return gaps
}
