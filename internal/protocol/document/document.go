// Package document defines the configuration document, which operators sign and
// publish as one validated text. It contains the plain data types, their strict
// YAML decoding, the validation shared by console, instances and command line,
// and readable descriptions of changes.
package document

// SchemaVersion is the document schema that this build reads and writes.
const SchemaVersion = 1

// Document is the whole configuration of one fleet.
type Document struct {
	// Schema is the schema version of the document itself.
	Schema int `yaml:"schema"`
	// Models lists the models and their versions.
	Models []Model `yaml:"models"`
	// Cascades lists the sequences of models offered to client accounts.
	Cascades []Cascade `yaml:"cascades"`
	// Kinds lists the kinds of requests with their time limits.
	Kinds []Kind `yaml:"kinds"`
	// Rollouts lists the rollouts in all stages.
	Rollouts []Rollout `yaml:"rollouts"`
	// ClientAccounts lists the client accounts with their permissions.
	ClientAccounts []ClientAccount `yaml:"client_accounts"`
	// PlainServices lists the services that are not model engines.
	PlainServices []PlainService `yaml:"plain_services"`
	// FailureDomains lists the failure domains and whether each is in service.
	FailureDomains []FailureDomain `yaml:"failure_domains"`
	// ColdLimits limits the load of backend servers after their start.
	ColdLimits []ColdLimit `yaml:"cold_limits"`
}

// Model is one model with the versions that serve it.
type Model struct {
	Name     string    `yaml:"name"`
	Versions []Version `yaml:"versions"`
}

// Version is one version of a model.
type Version struct {
	// ID is unique in the document. It is the model name used by the engines.
	ID string `yaml:"id"`
	// Withdrawn versions receive no new work, not even from sessions.
	Withdrawn bool `yaml:"withdrawn"`
	// MicrosPerThousandTokens is the price in millionths of the billing currency
	// for a thousand tokens, the same for prompts and answers.
	MicrosPerThousandTokens int64 `yaml:"micros_per_thousand_tokens"`
	// Quality is the expected rating, 0 to 1, before there are ratings.
	Quality float64 `yaml:"quality"`
}

// Cascade is an ordered list of models, cheapest first, with a quality target.
type Cascade struct {
	// Name is the model name in requests of callers.
	Name string `yaml:"name"`
	// Steps lists model names; a step is tried if the previous one did not meet
	// the quality target.
	Steps []string `yaml:"steps"`
	// QualityTarget is the lowest rating, 0 to 1, of an accepted answer; 0 accepts
	// every answer without a rating.
	QualityTarget float64 `yaml:"quality_target"`
	// WhenWithdrawn applies to sessions whose version was withdrawn.
	WhenWithdrawn SessionFallback `yaml:"when_withdrawn"`
}

// SessionFallback says how a session continues after its version is withdrawn.
type SessionFallback string

const (
	// FallbackRefuse refuses the requests of the session.
	FallbackRefuse SessionFallback = "refuse"
	// FallbackReassign assigns the version in force to the session.
	FallbackReassign SessionFallback = "reassign"
)

// Kind is one kind of request with its time limits.
type Kind struct {
	Name string `yaml:"name"`
	// FirstTokenMillis limits the time to the first token, in milliseconds.
	FirstTokenMillis int `yaml:"first_token_ms"`
	// TotalMillis limits the time of the whole answer, in milliseconds.
	TotalMillis int `yaml:"total_ms"`
	// Priority is passed to the engines; lower numbers are served first.
	Priority int `yaml:"priority"`
	// LatencyWeight, 0 to 1, is the weight of latency in the score; the
	// remainder is the weight of cost.
	LatencyWeight float64 `yaml:"latency_weight"`
}

// RolloutStage is the stage of a rollout as set by an operator.
type RolloutStage string

const (
	// RolloutActive gives SharePercent of new work to the new version.
	RolloutActive RolloutStage = "active"
	// RolloutHalted gives all new work to the old version.
	RolloutHalted RolloutStage = "halted"
	// RolloutDone gives all new work to the new version.
	RolloutDone RolloutStage = "done"
)

// Rollout gradually replaces one version of a model by another.
type Rollout struct {
	ID           string       `yaml:"id"`
	Model        string       `yaml:"model"`
	From         string       `yaml:"from"`
	To           string       `yaml:"to"`
	SharePercent int          `yaml:"share_percent"`
	Stage        RolloutStage `yaml:"stage"`
}

// ClientAccount is one client account with its permissions and limits.
type ClientAccount struct {
	Name string `yaml:"name"`
	// KeyHashes holds hex SHA-256 hashes of the API keys of the account.
	KeyHashes []string `yaml:"key_hashes"`
	// AllowedVersions lists the IDs of versions that may serve its requests.
	AllowedVersions []string `yaml:"allowed_versions"`
	// AllowedServices lists the plain services that it may call.
	AllowedServices []string `yaml:"allowed_services"`
	// DefaultKind is the kind of requests that name none.
	DefaultKind string `yaml:"default_kind"`
	// MaxInFlight limits its requests in flight over the whole fleet.
	MaxInFlight int `yaml:"max_in_flight"`
}

// PlainService is a service that is called with a method, path and body.
type PlainService struct {
	Name string `yaml:"name"`
	// TimeoutMillis limits the time of one call, in milliseconds.
	TimeoutMillis int `yaml:"timeout_ms"`
	// NonIdempotent lists the calls that run at most once.
	NonIdempotent []CallPattern `yaml:"non_idempotent"`
	// StatusPath is the path of a read request that reports whether a call took
	// effect; "{key}" is replaced by the idempotency key. Empty if there is none.
	StatusPath string `yaml:"status_path"`
}

// CallPattern matches calls to a plain service.
type CallPattern struct {
	Method     string `yaml:"method"`
	PathPrefix string `yaml:"path_prefix"`
}

// FailureDomain is one failure domain and whether it is in service.
type FailureDomain struct {
	Name string `yaml:"name"`
	// Out is true while operators have taken the failure domain out.
	Out bool `yaml:"out"`
}

// ColdLimit limits the load of a backend server after its start.
type ColdLimit struct {
	// Target names a model or a plain service.
	Target string `yaml:"target"`
	// MaxInFlight limits the requests in flight from the whole fleet.
	MaxInFlight int `yaml:"max_in_flight"`
	// WarmAfterRequests is the number of successful answers up to which
	// MaxInFlight applies. During the ramp-up that follows, the limit increases
	// with successful answers and decreases on failures, until the server is warm.
	WarmAfterRequests int `yaml:"warm_after_requests"`
}
