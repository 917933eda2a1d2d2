// Package document defines the configuration document: the one validated,
// signed text that operators answer for. It holds the plain data types, their
// strict YAML decoding, the validation shared by console, instances and
// command line, and the description of a change in plain words.
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
	// Kinds lists the kinds of request with their time limits.
	Kinds []Kind `yaml:"kinds"`
	// Rollouts lists the roll-outs that are declared, in any stage.
	Rollouts []Rollout `yaml:"rollouts"`
	// ClientAccounts lists the callers and what each may use.
	ClientAccounts []ClientAccount `yaml:"client_accounts"`
	// PlainServices lists the services that are not model engines.
	PlainServices []PlainService `yaml:"plain_services"`
	// FailureDomains lists the failure domains and whether each is in service.
	FailureDomains []FailureDomain `yaml:"failure_domains"`
	// ColdLimits bounds what a backend server bears after its start.
	ColdLimits []ColdLimit `yaml:"cold_limits"`
}

// Model is one model with the versions that serve it.
type Model struct {
	Name     string    `yaml:"name"`
	Versions []Version `yaml:"versions"`
}

// Version is one version of a model.
type Version struct {
	// ID is unique in the document and is the model name that engines know.
	ID string `yaml:"id"`
	// Withdrawn versions receive no new work, not even from sessions.
	Withdrawn bool `yaml:"withdrawn"`
	// MicrosPerThousandTokens is the price in millionths of the billing
	// currency for a thousand tokens, prompt and answer alike.
	MicrosPerThousandTokens int64 `yaml:"micros_per_thousand_tokens"`
	// Quality is the expected rating, 0 to 1, before ratings are known.
	Quality float64 `yaml:"quality"`
}

// Cascade is an ordered list of models, cheapest first, with one target.
type Cascade struct {
	// Name is the model name that callers ask for.
	Name string `yaml:"name"`
	// Steps names models; a step is tried when the one before fell short.
	Steps []string `yaml:"steps"`
	// QualityTarget is the lowest rating, 0 to 1, of an answer to be given.
	QualityTarget float64 `yaml:"quality_target"`
	// WhenWithdrawn says what a session gets whose version was withdrawn.
	WhenWithdrawn SessionFallback `yaml:"when_withdrawn"`
}

// SessionFallback says what a session gets when its version is withdrawn.
type SessionFallback string

const (
	// FallbackRefuse answers such a session with a typed refusal.
	FallbackRefuse SessionFallback = "refuse"
	// FallbackReassign gives such a session the version in force.
	FallbackReassign SessionFallback = "reassign"
)

// Kind is one kind of request with the time it may take.
type Kind struct {
	Name string `yaml:"name"`
	// FirstTokenMillis bounds the wait for the first token, in milliseconds.
	FirstTokenMillis int `yaml:"first_token_ms"`
	// TotalMillis bounds the whole answer, in milliseconds.
	TotalMillis int `yaml:"total_ms"`
	// Priority is passed to the engines; a lower number goes first.
	Priority int `yaml:"priority"`
	// LatencyWeight, 0 to 1, trades cost (0) against latency (1) in scoring.
	LatencyWeight float64 `yaml:"latency_weight"`
}

// RolloutStage says how a roll-out stands by the word of an operator.
type RolloutStage string

const (
	// RolloutActive gives SharePercent of new work to the new version.
	RolloutActive RolloutStage = "active"
	// RolloutHalted gives all new work to the old version.
	RolloutHalted RolloutStage = "halted"
	// RolloutDone gives all new work to the new version.
	RolloutDone RolloutStage = "done"
)

// Rollout replaces one version of a model by another in stages.
type Rollout struct {
	ID           string       `yaml:"id"`
	Model        string       `yaml:"model"`
	From         string       `yaml:"from"`
	To           string       `yaml:"to"`
	SharePercent int          `yaml:"share_percent"`
	Stage        RolloutStage `yaml:"stage"`
}

// ClientAccount is one caller and what it may use.
type ClientAccount struct {
	Name string `yaml:"name"`
	// KeyHashes holds hex SHA-256 hashes of the API keys of the account.
	KeyHashes []string `yaml:"key_hashes"`
	// AllowedVersions lists the version IDs that may run its requests.
	AllowedVersions []string `yaml:"allowed_versions"`
	// AllowedServices lists the plain services it may call.
	AllowedServices []string `yaml:"allowed_services"`
	// DefaultKind names the kind of a request that names none.
	DefaultKind string `yaml:"default_kind"`
	// MaxInFlight bounds its requests in progress over the whole fleet.
	MaxInFlight int `yaml:"max_in_flight"`
}

// PlainService is a service reached by method, path and body.
type PlainService struct {
	Name string `yaml:"name"`
	// TimeoutMillis bounds one call, in milliseconds.
	TimeoutMillis int `yaml:"timeout_ms"`
	// NonIdempotent lists the calls that run at most once.
	NonIdempotent []CallPattern `yaml:"non_idempotent"`
	// StatusPath is the read that tells whether a call took effect;
	// "{key}" stands for the idempotency key. Empty where there is none.
	StatusPath string `yaml:"status_path"`
}

// CallPattern matches calls of a plain service.
type CallPattern struct {
	Method     string `yaml:"method"`
	PathPrefix string `yaml:"path_prefix"`
}

// FailureDomain is one failure domain.
type FailureDomain struct {
	Name string `yaml:"name"`
	// Out is true while operators have taken the failure domain out.
	Out bool `yaml:"out"`
}

// ColdLimit bounds what a backend server bears after its start.
type ColdLimit struct {
	// Target names a model or a plain service.
	Target string `yaml:"target"`
	// MaxInFlight bounds requests in progress from the whole fleet.
	MaxInFlight int `yaml:"max_in_flight"`
	// WarmAfterRequests is the number of good answers until which MaxInFlight
	// holds. From then on the bound grows with good answers, and falls back at
	// trouble, until the server counts as warm.
	WarmAfterRequests int `yaml:"warm_after_requests"`
}
