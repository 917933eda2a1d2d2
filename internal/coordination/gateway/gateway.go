// Package gateway forwards raw HTTP requests to backend servers. It matches
// the route and the client account, chooses the model and the server, retries
// within its retry budgets what is safe to retry, and returns either one
// complete response or a refusal that states correctly whether the request may
// have run.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/coordination/escalation"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/reachability"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// Configuration is the routing configuration in force.
type Configuration struct {
	// Index is nil while none is known.
	Index *routes.Index
	// ProvenAt is the start of the latest read that confirmed that Index is the
	// newest configuration.
	ProvenAt boottime.Instant
}

// Bounds are the limits that an operator may change at run time.
type Bounds struct {
	// MaxProofAge is the maximum age of Configuration.ProvenAt. API keys are
	// not accepted by an older one; 0 sets no maximum.
	MaxProofAge time.Duration
	Budget      retrybudget.Options
	Cold        ColdOptions
}

// Options configures a Gateway.
type Options struct {
	Codec Codec
	// Current returns the configuration in force.
	Current func() Configuration
	// ConfigurationExpected returns for how much longer a missing configuration,
	// or the confirmation of a stale one, is expected to arrive soon; 0 if it is
	// not expected.
	ConfigurationExpected func() time.Duration
	// Bounds returns the limits in force.
	Bounds func() Bounds
	// Servers lists the backend servers by the names of their services.
	Servers *backends.Table
	// Limits holds the rate limits that servers state for all instances together.
	Limits *fleetlimit.Limiter
	// Brittle bounds how often servers that state such a bound turn requests away.
	Brittle *brittle.Gate
	// Quarantine holds the prompt parts and requests under which servers end.
	Quarantine *quarantine.Detector
	// Reachability tells whether this instance reaches any server, and OthersReach whether
	// another one does.
	Reachability *reachability.Monitor
	OthersReach  func() bool
	// DomainOut reports whether a failure domain is out of service.
	DomainOut func(failureDomain string) bool
	// Staging chooses the version of a service during a rollout.
	Staging *staging.Controller
	// Instances returns the number of instances that may be running.
	Instances func() int
	// Senders returns the number of instances that send requests at present; nil
	// means that Instances does.
	Senders func() int
	// Rank returns the position of this instance, from 0, among those that may
	// be running, in an order that depends on the key.
	Rank func(key string) int
	// Pressure reports whether the settings state that callers at times compete for insufficient
	// capacity, so that requests are admitted by load. Nil means no.
	Pressure func() bool
	// Accounts counts the requests of client accounts; nil if none are counted.
	Accounts *admission.Accounts
	// LongPromptSent is called after this instance has sent a server a long
	// prompt, which other requests should not queue behind, so that its peers
	// receive the new load soon.
	LongPromptSent func()
	// AnswerValue is the value of a good answer to a request of the highest
	// priority, in runs of the strongest model that may answer it. Each lower
	// priority halves it.
	AnswerValue float64
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Random is the source of the gateway's random draws, safe for concurrent use; nil means
	// the global generator.
	Random rand.Source
	// Clock is the clock of proofs and of the ends of servers; nil means boottime.Now.
	Clock    func() boottime.Instant
	Upstream Upstream
	Log      *logrus.Entry
	Metrics  Metrics
}

// Metrics receives the counts and durations of requests and attempts.
type Metrics interface {
	// Answered counts a finished request of a kind, with its outcome and
	// duration.
	Answered(kind, outcome string, took time.Duration)
	// Attempted counts an attempt, with its verdict and the time to the header
	// of the response.
	Attempted(service, verdict string, took time.Duration)
	// Placed counts the choice of a server, with its cause.
	Placed(service, cause string)
	// Predicted records the ratios of the actual to the predicted time to the first
	// event and to the end of a run of a kind of request; 0 if one is unknown.
	Predicted(kind string, firstEvent, end float64)
	// Sized counts a request of a class of expected work, with whether it met its objective
	// and the time to its first event; 0 if there was none.
	Sized(service, size, objective string, first time.Duration)
	// SizePredicted records the ratio of the actual to the predicted time to the first event of a
	// run of a request of a class; 0 if it is unknown.
	SizePredicted(service, size string, firstEvent float64)
	// Admitted counts what admission by load did with a run of a request of a rank, and how
	// long the run waited for capacity.
	Admitted(service string, rank int, outcome string, waited time.Duration)
	// Excess counts a request above the share of its account.
	Excess(account string)
}

// Gateway is the HTTP handler for clients. It is safe for concurrent use.
type Gateway struct {
	Options
	budgets      retrybudget.Budgets
	cold         *coldLimiter
	headerMeans  sync.Map // timingKey to *headerMean
	versionTimes versionTimes
	clientErrors clientErrors
	buffers      bodyBuffers
	restarted    restartedServers
	prefill      prefill.Estimators
	workload     workload.Estimators
	// escalation learns how much stronger models improve answers.
	escalation escalation.Learner
	shutdown   *shutdownState
	// endedChecks finds servers that have ended with requests in progress.
	endedChecks *endedChecks
	// shortages tracks the services without an available server.
	shortages shortages
	// waiting is the number of requests that wait for the configuration.
	waiting atomic.Int64
	// capacity holds the requests that wait for capacity, and usages the recent usage of
	// each service.
	capacity admission.Queue
	usages   sync.Map // service name to *usageAt
	// refusedAt is when each server last refused a run.
	refusedAt sync.Map // server ID to time.Time
}

var _ http.Handler = (*Gateway)(nil)

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	return &Gateway{Options: opts, cold: newColdLimiter(), shutdown: newShutdownState(), endedChecks: newEndedChecks()}
}
