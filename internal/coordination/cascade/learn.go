package cascade

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names what acceptance is learned for.
type Key struct {
	Cascade   string `json:"cascade"`
	Kind      string `json:"kind"`
	VersionID string `json:"version_id"`
	Account   string `json:"account"`
	// Escalated is true for ratings of a step that followed one below the target:
	// such requests are harder than most, so they say nothing of the others.
	Escalated bool `json:"later,omitempty"`
}

// allAccounts returns the key of all client accounts together.
func (k Key) allAccounts() Key {
	k.Account = ""
	return k
}

// Counts holds how many rated answers met the target and how many fell short.
// Old counts fade, so that a version that changes is seen to change.
type Counts struct {
	Accepted float64 `json:"accepted"`
	Below    float64 `json:"below"`
}

func (c Counts) total() float64 { return c.Accepted + c.Below }

// Estimate is the probability that an answer meets the target.
type Estimate struct {
	Mean float64 `json:"mean"`
	// Low is the lower end of the one-sided 95% interval.
	Low float64 `json:"low"`
	// Observed is the number of ratings behind the estimate.
	Observed float64 `json:"observed"`
}

const (
	learnerShards = 16
	// decayThreshold is the number of ratings of one key at which all are halved.
	decayThreshold = 400
	// priorStrength is the number of ratings that the declared quality counts
	// for.
	priorStrength = 4
	// fleetStrength bounds the number of ratings that those of other client
	// accounts count for in the estimate of one.
	fleetStrength = 20
	// minRatings is the number of ratings from which an estimate counts as
	// known.
	minRatings = 30
	// oneSided95 is the 95% quantile of the standard normal distribution.
	oneSided95 = 1.645
	// priorScale is the difference between declared quality and target that
	// moves the prior by one unit of log odds.
	priorScale = 0.07
	// durationWeight is the weight of a new value in the moving mean of times.
	durationWeight = 0.1
)

// Learner learns how often versions meet the target and how long they take.
// Counts of other instances are merged in. It is safe for concurrent use; a
// nil Learner knows nothing.
type Learner struct {
	shards [learnerShards]learnerShard
}

type learnerShard struct {
	mu sync.Mutex
	// own holds the counts of this instance.
	own map[Key]Counts
	// peers holds the latest counts of each other instance.
	peers map[string]map[Key]Counts
	// pooled holds the sums over all instances: by key, and under the key
	// without its client account over all accounts.
	pooled    map[Key]Counts
	durations map[durationKey]time.Duration
}

// pool adds the change of one instance's counts to the sums.
func (s *learnerShard) pool(key Key, before, after Counts) {
	for _, k := range []Key{key, key.allAccounts()} {
		sum := s.pooled[k]
		sum.Accepted = max(0, sum.Accepted+after.Accepted-before.Accepted)
		sum.Below = max(0, sum.Below+after.Below-before.Below)
		s.pooled[k] = sum
	}
}

type durationKey struct {
	kind, versionID string
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	l := &Learner{}
	for i := range l.shards {
		l.shards[i] = learnerShard{own: map[Key]Counts{}, peers: map[string]map[Key]Counts{}, pooled: map[Key]Counts{}, durations: map[durationKey]time.Duration{}}
	}
	return l
}

func (l *Learner) shardOf(versionID string) *learnerShard {
	return &l.shards[xxhash.Sum64String(versionID)%learnerShards]
}

// ObserveRating notes a rated answer.
func (l *Learner) ObserveRating(key Key, accepted bool) {
	if l == nil {
		return
	}
	s := l.shardOf(key.VersionID)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.own[key]
	counts := before
	if accepted {
		counts.Accepted++
	} else {
		counts.Below++
	}
	if counts.total() >= decayThreshold {
		counts.Accepted /= 2
		counts.Below /= 2
	}
	s.own[key] = counts
	s.pool(key, before, counts)
}

// ObserveDuration notes how long a whole answer took.
func (l *Learner) ObserveDuration(kind, versionID string, took time.Duration) {
	if l == nil {
		return
	}
	s := l.shardOf(versionID)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := durationKey{kind: kind, versionID: versionID}
	mean, known := s.durations[key]
	if !known {
		s.durations[key] = took
		return
	}
	s.durations[key] = mean + time.Duration(durationWeight*float64(took-mean))
}

// ExpectedDuration returns the expected time of an answer; 0 while unknown.
func (l *Learner) ExpectedDuration(kind, versionID string) time.Duration {
	if l == nil {
		return 0
	}
	s := l.shardOf(versionID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durations[durationKey{kind: kind, versionID: versionID}]
}

// Prior returns the acceptance to expect from the declared quality alone.
func Prior(quality, target float64) float64 {
	return 1 / (1 + math.Exp(-(quality-target)/priorScale))
}

// EstimateAcceptance estimates the acceptance of a key. The ratings of a client account
// are shrunk towards those of all others, and these towards the prior: a Beta
// posterior whose prior is the fleet's (empirical Bayes: Efron and Morris,
// 1975).
func (l *Learner) EstimateAcceptance(key Key, prior float64) Estimate {
	if l == nil {
		return posterior(Counts{}, prior, priorStrength)
	}
	account, others := l.counts(key)
	fleet := posterior(others, prior, priorStrength)
	estimate := posterior(account, fleet.Mean, min(priorStrength+others.total(), fleetStrength))
	estimate.Observed = account.total() + others.total()
	return estimate
}

// counts returns the pooled counts of the key and those of all other client
// accounts.
func (l *Learner) counts(key Key) (account, others Counts) {
	s := l.shardOf(key.VersionID)
	s.mu.Lock()
	defer s.mu.Unlock()
	account = s.pooled[key]
	all := s.pooled[key.allAccounts()]
	others = Counts{Accepted: max(0, all.Accepted-account.Accepted), Below: max(0, all.Below-account.Below)}
	return account, others
}

func posterior(counts Counts, priorMean, strength float64) Estimate {
	a := counts.Accepted + priorMean*strength
	b := counts.Below + (1-priorMean)*strength
	n := a + b
	mean := a / n
	deviation := math.Sqrt(mean * (1 - mean) / (n + 1))
	return Estimate{Mean: mean, Low: max(0, mean-oneSided95*deviation), Observed: counts.total()}
}
