// Package routes defines the routing configuration of HTTP requests: the services
// for each host and path, the requests that may be repeated, and the accepted API
// keys. The types are plain data; Compile builds the index for lookups.
package routes

import "time"

// Kind says whether a request may be repeated and how it is answered.
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

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout limits the time of the whole answer; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the time to a complete answer, or to
	// the first event of a stream.
	Objective time.Duration
	// GapObjective is the objective for the time between two events of a stream.
	GapObjective time.Duration
	// MaxAttempts limits the number of servers that one request is sent to.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued by another server after a given event.
	Resumable bool
	// Models lists the models that the system selects from, smallest first; empty
	// if the client names the model.
	Models []string
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// ColdPerSecond is the rate of requests that a cold server can handle, in
	// requests per second from all instances together; 0 means no limit.
	ColdPerSecond float64
	// ColdTime is how long a server is cold after it has started; 0 if it never is.
	ColdTime time.Duration
	// ModelCosts holds the token price of each model by its name.
	ModelCosts map[string]float64
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil if not set.
	Priority *int
}

// Limits holds the limits on requests and connections of clients. For a zero
// field the configuration sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the timeout for receiving the header of a request.
	HeaderTime time.Duration
	// IdleTime is the timeout for the next request on an idle connection.
	IdleTime time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil if no request needs an API key.
	Accounts []Account
	Limits   Limits
}

// Older reports whether the table is older than the version in force, which it then does
// not replace.
func (t *Table) Older(inForce int64) bool { return t.Version < inForce }
