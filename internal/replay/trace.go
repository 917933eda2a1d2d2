// Package replay runs recorded traces through the decision code on a virtual
// clock: cascade plans, routing, cold limits and roll-out halts. Servers are
// reduced to places and recorded answer times, since decisions are what is
// measured.
//
// A trace is a text of JSON objects, one a line. The first is a Header; every
// other is an Event, in order of time.
package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
)

// ErrTrace is the kind of error of a text that is no trace.
var ErrTrace = merry.Sentinel("text is no trace; compare it with the format in docs/design-decisions.md")

// Header describes what a trace was recorded on.
type Header struct {
	Name string `json:"name"`
	// Document is the configuration at the start, in YAML.
	Document string `json:"document"`
	Entries  int    `json:"entries"`
	// Domains names the failure domains of the entry instances, in turn.
	Domains []string `json:"domains"`
	Servers []Server `json:"servers"`
	// RatingMillis is the time that a rating takes.
	RatingMillis int64 `json:"rating_ms"`
	// ReportMillis is the time between two load reports, and their lag.
	ReportMillis int64 `json:"report_ms"`
	// BadFromMillis is when the new version turns bad, for the report.
	BadFromMillis int64 `json:"bad_from_ms"`
	// Objectives is the outcome that a replay must reach.
	Objectives Objectives `json:"stated"`
}

// Server is one backend server.
type Server struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Serves        []string `json:"serves"`
	// Slots is the number of requests that run at once; others wait.
	Slots int `json:"places"`
}

// Objectives is the outcome that a replay must reach.
type Objectives struct {
	// CostOfStrongest bounds the cost as a share of always strongest.
	CostOfStrongest float64 `json:"cost_of_strongest"`
	// InTime is the lowest share of the feasible requests that are answered
	// whole in time.
	InTime float64 `json:"in_time"`
}

// Event is one event; exactly one of its pointers is set.
type Event struct {
	AtMillis int64    `json:"at_ms"`
	Request  *Request `json:"request,omitempty"`
	Fault    *Fault   `json:"fault,omitempty"`
	// Document is a new configuration, in YAML.
	Document string `json:"document,omitempty"`
}

// Request is one recorded request with what each version would answer.
type Request struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Session string `json:"session,omitempty"`
	Tokens  int64  `json:"tokens"`
	// Answers holds one entry for each version.
	Answers []Answer `json:"answers"`
}

// Answer is what one version answers to a request.
type Answer struct {
	VersionID string  `json:"version_id"`
	Rating    float64 `json:"rating"`
	Millis    int64   `json:"ms"`
}

// Fault is a change of what works.
type Fault struct {
	// Domain names the failure domain whose servers end or start again.
	Domain string `json:"domain,omitempty"`
	Down   bool   `json:"down"`
	// Ratings is true where the rating service is meant.
	Ratings bool `json:"ratings,omitempty"`
}

// Trace is a whole trace.
type Trace struct {
	Header Header
	Events []Event
}

// Read reads a trace. The error is of the kind ErrTrace.
func Read(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	decoder.DisallowUnknownFields()
	trace := &Trace{}
	if err := decoder.Decode(&trace.Header); err != nil {
		return nil, merry.Prepend(ErrTrace, "header: "+err.Error())
	}
	for decoder.More() {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return nil, merry.Prependf(ErrTrace, "event %d: %v", len(trace.Events)+1, err)
		}
		if len(trace.Events) > 0 && event.AtMillis < trace.Events[len(trace.Events)-1].AtMillis {
			return nil, merry.Prependf(ErrTrace, "event %d is earlier than the one before", len(trace.Events)+1)
		}
		trace.Events = append(trace.Events, event)
	}
	if trace.Header.Entries < 1 || trace.Header.ReportMillis < 1 || len(trace.Header.Domains) == 0 {
		return nil, merry.Prepend(ErrTrace, "header needs entries, domains and report_ms")
	}
	return trace, nil
}

// Write writes a trace.
func Write(w io.Writer, trace *Trace) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(&trace.Header); err != nil {
		return err
	}
	for i := range trace.Events {
		if err := encoder.Encode(&trace.Events[i]); err != nil {
			return err
		}
	}
	return nil
}

func parseDocument(text string) (*document.Index, error) {
	doc, err := document.Parse([]byte(text))
	if err != nil {
		return nil, merry.Prepend(ErrTrace, err.Error())
	}
	return document.NewIndex(doc), nil
}
