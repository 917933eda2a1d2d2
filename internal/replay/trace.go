// Package replay runs recorded traces through the decision code (cascade plans,
// routing, cold limits and rollout halts) on a virtual clock. A server is
// modelled by its slots and recorded answer times only, since a replay measures
// decisions.
//
// A trace is a sequence of JSON objects, one per line. The first is a Header;
// the others are Events in order of time.
package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
)

// ErrTrace is the error for input that is not a valid trace.
var ErrTrace = merry.Sentinel("not a valid trace; compare it with the format in docs/design-decisions.md")

// Header describes the system on which a trace was recorded.
type Header struct {
	Name string `json:"name"`
	// Document is the initial configuration, in YAML.
	Document string `json:"document"`
	// Entries is the number of entry instances.
	Entries int `json:"entries"`
	// Domains names the failure domains that are assigned to the entry
	// instances in turn.
	Domains []string `json:"domains"`
	Servers []Server `json:"servers"`
	// RatingMillis is the duration of a rating.
	RatingMillis int64 `json:"rating_ms"`
	// ReportMillis is the interval between load reports, and also their delay.
	ReportMillis int64 `json:"report_ms"`
	// BadFromMillis is the time from which the new version gives bad answers.
	// Only the report uses it.
	BadFromMillis int64 `json:"bad_from_ms"`
	// Objectives are the results that a replay must reach.
	Objectives Objectives `json:"stated"`
}

// Server is one backend server.
type Server struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Serves        []string `json:"serves"`
	// Slots is the number of requests that run concurrently; others wait.
	Slots int `json:"places"`
}

// Objectives are the results that a replay must reach.
type Objectives struct {
	// CostOfStrongest is the highest cost, as a fraction of the cost of the
	// policy "always strongest".
	CostOfStrongest float64 `json:"cost_of_strongest"`
	// InTime is the lowest fraction of the feasible requests that are answered
	// in time.
	InTime float64 `json:"in_time"`
}

// Event is one event of a trace; exactly one of Request, Fault and Document is
// set.
type Event struct {
	AtMillis int64    `json:"at_ms"`
	Request  *Request `json:"request,omitempty"`
	Fault    *Fault   `json:"fault,omitempty"`
	// Document is a new configuration, in YAML.
	Document string `json:"document,omitempty"`
}

// Request is one recorded request with the answer of each version.
type Request struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Session string `json:"session,omitempty"`
	Tokens  int64  `json:"tokens"`
	// Answers holds one answer for each version.
	Answers []Answer `json:"answers"`
}

// Answer is the recorded answer of one version to a request.
type Answer struct {
	VersionID string  `json:"version_id"`
	Rating    float64 `json:"rating"`
	Millis    int64   `json:"ms"`
}

// Fault is a failure or a recovery of servers or of the rating service.
type Fault struct {
	// Domain names the failure domain whose servers fail or recover.
	Domain string `json:"domain,omitempty"`
	// Down is true for a failure, false for a recovery.
	Down bool `json:"down"`
	// Ratings is true if the fault concerns the rating service; Domain is
	// ignored then.
	Ratings bool `json:"ratings,omitempty"`
}

// Trace is a complete trace.
type Trace struct {
	Header Header
	Events []Event
}

// Read reads a trace from r. All its errors wrap ErrTrace.
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

// Write writes a trace to w in the format that Read reads.
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
