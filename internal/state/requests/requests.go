// Package requests keeps the explanations of the latest requests, so that an
// operator can ask afterwards why a request went where it went.
package requests

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Explanation is the story of one request.
type Explanation struct {
	RequestID string    `json:"request_id"`
	Account   string    `json:"account"`
	Requested string    `json:"asked"`
	Kind      string    `json:"kind"`
	Session   string    `json:"session,omitempty"`
	Started   time.Time `json:"started"`
	TookMS    int64     `json:"took_ms"`
	// Configuration is the number of the document that decided.
	Configuration int64 `json:"configuration"`
	// PlanReason says why the steps were chosen among the options.
	PlanReason string    `json:"plan_reason,omitempty"`
	Options    []Option  `json:"options,omitempty"`
	Attempts   []Attempt `json:"attempts"`
	Steps      []Step    `json:"steps"`
	// Micros is the cost of all steps in millionths of the billing currency.
	Micros int64 `json:"micros"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	// Quality is met, unrated or below_target; empty without an answer.
	Quality string `json:"quality,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Option is one step that was weighed and what was expected of it.
type Option struct {
	VersionID string `json:"version_id"`
	Rollout   string `json:"rollout,omitempty"`
	// Acceptance is the expected share of answers that meet the target, and
	// AcceptanceLow the lower end of its one-sided 95% interval.
	Acceptance    float64 `json:"acceptance"`
	AcceptanceLow float64 `json:"acceptance_low"`
	// Ratings is the number of ratings behind the expectation.
	Ratings float64 `json:"ratings"`
	// Price is that of a thousand tokens, in micros.
	Price int64 `json:"price_micros"`
	// ExpectedMS is the expected time; 0 while unknown.
	ExpectedMS int64 `json:"expected_ms"`
	Chosen     bool  `json:"chosen"`
}

// Attempt is one choice of a backend server and what became of it.
type Attempt struct {
	Target string `json:"target"`
	Picked string `json:"picked,omitempty"`
	// InView is the number of servers of the target.
	InView     int         `json:"in_view"`
	Candidates []Candidate `json:"candidates"`
	// Omitted counts the candidates that are not listed, by cause.
	Omitted []OmittedCandidates `json:"left_out,omitempty"`
	Result  string              `json:"result"`
}

// OmittedCandidates counts candidates that an explanation does not list.
type OmittedCandidates struct {
	// Dropped names the filter; empty if none excluded them.
	Dropped string `json:"dropped,omitempty"`
	Count   int    `json:"count"`
}

// Candidate is one backend server that was considered.
type Candidate struct {
	ID      string  `json:"id"`
	Dropped string  `json:"dropped,omitempty"`
	Score   float64 `json:"score"`
	// InFlight is the number of calls of this instance at the server.
	InFlight int `json:"in_flight"`
	// PrefixCache is true where the prefix of the prompt belongs to it.
	PrefixCache bool `json:"prefix_cache,omitempty"`
	// Bound is the number of calls that it may get from this instance while
	// it is cold or its breaker half open; 0 means none.
	Bound int `json:"bound,omitempty"`
}

// Step is one step of a cascade and how it ended.
type Step struct {
	VersionID string  `json:"version_id"`
	Rollout   string  `json:"rollout,omitempty"`
	Rating    float64 `json:"rating,omitempty"`
	Result    string  `json:"result"`
	Micros    int64   `json:"micros"`
	TookMS    int64   `json:"took_ms,omitempty"`
}

const (
	shardCount           = 16
	explanationsPerShard = 256 // explanations that one shard keeps
	maxCandidates        = 16  // candidates that one explanation keeps
)

// Log keeps the latest explanations. It is safe for concurrent use.
type Log struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	byID  map[string]*Explanation
	order []string
}

// NewLog returns an empty log.
func NewLog() *Log {
	l := &Log{}
	for i := range l.shards {
		l.shards[i].byID = map[string]*Explanation{}
	}
	return l
}

// Add keeps an explanation, which must not change afterwards, and drops the
// oldest of its shard where it is full.
func (l *Log) Add(e *Explanation) {
	s := l.shardOf(e.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) >= explanationsPerShard {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
	s.byID[e.RequestID] = e
	s.order = append(s.order, e.RequestID)
}

// Get returns the explanation of a request, or nil.
func (l *Log) Get(requestID string) *Explanation {
	s := l.shardOf(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[requestID]
}

func (l *Log) shardOf(requestID string) *shard {
	return &l.shards[xxhash.Sum64String(requestID)%shardCount]
}

// TrimCandidates bounds the candidates of an attempt. The picked one is kept,
// and those left out are counted by cause.
func TrimCandidates(candidates []Candidate, picked string) ([]Candidate, []OmittedCandidates) {
	if len(candidates) <= maxCandidates {
		return candidates, nil
	}
	kept := candidates[:maxCandidates]
	var omitted []OmittedCandidates
	for _, candidate := range candidates[maxCandidates:] {
		if candidate.ID == picked {
			candidate, kept[maxCandidates-1] = kept[maxCandidates-1], candidate
		}
		omitted = countOmitted(omitted, candidate.Dropped)
	}
	return kept, omitted
}

func countOmitted(omitted []OmittedCandidates, dropped string) []OmittedCandidates {
	for i := range omitted {
		if omitted[i].Dropped == dropped {
			omitted[i].Count++
			return omitted
		}
	}
	return append(omitted, OmittedCandidates{Dropped: dropped, Count: 1})
}
