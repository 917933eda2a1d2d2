// Package routes holds the routing configuration of raw requests: which host
// and path lead to which service, what may be repeated, and whose keys are
// accepted. The types are plain data; Compile makes the index that requests
// are looked up in.
package routes

import "time"

// Kind says what may be repeated of a request.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a sequence of numbered events.
	Stream
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "stream"
	}
}

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets.
	Weight int
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout bounds the whole answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective: the time to a whole answer, or to
	// the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is
	// still on time.
	GapObjective time.Duration
	// MaxAttempts bounds the number of servers that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server after a given event.
	Resumable bool
	// Models lists the models that the system chooses from, smallest first;
	// empty where the client names the model.
	Models []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// ColdPerSecond is the number of requests a second that a cold server
	// bears from all instances together; 0 means no bound.
	ColdPerSecond float64
	// ModelCosts holds the price of the tokens of each model by its name.
	ModelCosts map[string]float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes the place of the priority of the route, if set.
	Priority *int
}

// Limits bounds what a client may send. A zero field means no bound of its
// own.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long the header of a request may take.
	HeaderTime time.Duration
	// IdleTime is how long a connection may be unused before a request.
	IdleTime time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil where no request needs a key.
	Accounts []Account
	Limits   Limits
}
