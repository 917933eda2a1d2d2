// Package routecheck checks routing tables: it finds entries that can never take effect and
// limits that contradict each other, and describes what differs between two tables.
package routecheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for the instances.
type Severity string

const (
	// Error findings are of what an instance rejects or ignores.
	Error Severity = "error"
	// Warning findings are of what an instance accepts.
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the location in the text, such as routes[3].name.
	Path string `json:"path"`
	// Line is the line of the text, starting at 1; 0 if unknown.
	Line    int    `json:"line,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s: line %d: %s: %s; %s", f.Severity, f.Line, f.Path, f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Path, f.Problem, f.Remedy)
}

// Sort sorts findings: errors first, then by line.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Line, b.Line))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}
