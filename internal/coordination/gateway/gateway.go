// Package gateway passes raw requests on to backend servers: it finds the
// route and the client account, chooses model and server, repeats what may be
// repeated within its budgets, and gives the client one whole answer or a
// refusal that is true.
package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/escalation"
	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// Configuration is the routing configuration in force.
type Configuration struct {
	// Index is nil while none is known.
	Index *routes.Index
	// ProvenAt is the start of the latest read that showed that Index is the
	// newest.
	ProvenAt boottime.Instant
}

// Bounds are the bounds that an operator may change while the gateway runs.
type Bounds struct {
	// MaxProofAge is the age of the proof of a configuration from which keys
	// are no longer taken as valid; 0 means no bound.
	MaxProofAge time.Duration
	Budget      retrybudget.Options
	Cold        ColdOptions
}

// Options are the parts that a Gateway works with.
type Options struct {
	Codec Codec
	// Current returns the configuration in force.
	Current func() Configuration
	// ConfigurationExpected returns for how much longer a configuration that is missing, or a
	// proof of it, is expected to come soon; 0 where it is not.
	ConfigurationExpected func() time.Duration
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// Servers lists the backend servers by the names of their services.
	Servers *backends.Table
	// DomainOut reports whether a failure domain is taken out of service.
	DomainOut func(failureDomain string) bool
	// Staging chooses the version of a service during its roll-out.
	Staging *staging.Controller
	// Instances returns the number of instances that may be running.
	Instances func() int
	// Rank returns the place of this instance among those that may be running,
	// in an order that depends on the key.
	Rank func(key string) int
	// LongPromptSent is called when this instance has sent a server a prompt that others
	// should not wait behind, so that its peers learn of it soon.
	LongPromptSent func()
	// AnswerValue is what a good answer to a request of the highest rank is worth,
	// in runs of the strongest model that may answer it. It is half as much with
	// each rank below.
	AnswerValue float64
	// FailureDomain is that of this instance.
	FailureDomain string
	Upstream      Upstream
	Log           *logrus.Entry
	Metrics       Metrics
}

// Metrics receives what the gateway counts.
type Metrics interface {
	// Answered counts a request of a kind with its outcome and duration.
	Answered(kind, outcome string, took time.Duration)
	// Attempted counts an attempt with its verdict and the time to the header
	// of its response.
	Attempted(service, verdict string, took time.Duration)
}

// Gateway serves clients. It is safe for concurrent use.
type Gateway struct {
	Options
	budgets      retrybudget.Budgets
	cold         *coldLimiter
	headerMeans  sync.Map // timingKey to *headerMean
	versionTimes versionTimes
	prefill      prefill.Estimators
	// escalation learns what stronger models add.
	escalation escalation.Learner
	shutdown   *shutdownState
	// shortages are of the services that have no server for requests.
	shortages shortages
	// waiting counts the requests that wait for the configuration.
	waiting atomic.Int64
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{Options: opts, cold: newColdLimiter(), shutdown: newShutdownState()}
}
