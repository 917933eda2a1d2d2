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
	Asked     string    `json:"asked"`
	Kind      string    `json:"kind"`
	Started   time.Time `json:"started"`
	TookMS    int64     `json:"took_ms"`
	// Configuration is the number of the document that decided.
	Configuration int64     `json:"configuration"`
	Attempts      []Attempt `json:"attempts"`
	Steps         []Step    `json:"steps"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// Attempt is one choice of a backend server and what became of it.
type Attempt struct {
	Target     string      `json:"target"`
	Picked     string      `json:"picked,omitempty"`
	Candidates []Candidate `json:"candidates"`
	Result     string      `json:"result"`
}

// Candidate is one backend server that was considered.
type Candidate struct {
	ID      string  `json:"id"`
	Dropped string  `json:"dropped,omitempty"`
	Score   float64 `json:"score"`
}

// Step is one step of a cascade and how it ended.
type Step struct {
	VersionID string  `json:"version_id"`
	Rollout   string  `json:"rollout,omitempty"`
	Rating    float64 `json:"rating,omitempty"`
	Result    string  `json:"result"`
	Micros    int64   `json:"micros"`
}

const (
	shardCount    = 16
	keptPerShard  = 256 // explanations that one shard keeps
	maxCandidates = 16  // candidates that one explanation keeps
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
	if len(s.order) >= keptPerShard {
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

// TrimCandidates bounds the candidates of an attempt.
func TrimCandidates(candidates []Candidate) []Candidate {
	return candidates[:min(len(candidates), maxCandidates)]
}
