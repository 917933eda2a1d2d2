// Package platform defines the messages of the platform's services: log
// service, instance list, rating service and weight store, all JSON over HTTP.
package platform

import "encoding/json"

// Paths of the platform's services. Streams are named in the path.
const (
	// LogPathPrefix is followed by a stream name; POST appends an
	// AppendRequest, GET reads with the parameters from, limit and wait_ms.
	LogPathPrefix = "/v1/log/"
	// InstancesPath answers GET with an InstanceList.
	InstancesPath = "/v1/instances"
	// RatingsPath answers POST of a RatingRequest with a Rating.
	RatingsPath = "/v1/ratings"
	// WeightsPathPrefix is followed by a version ID; GET answers with the
	// weights, or 429 with Retry-After.
	WeightsPathPrefix = "/v1/weights/"
)

// Names of the streams that the system keeps on the log service.
const (
	// StreamConfiguration holds signed configuration envelopes.
	StreamConfiguration = "configuration"
	// StreamAudit holds the audit trail of automatic changes.
	StreamAudit = "audit"
	// StreamClaims holds claims and outcomes of non-idempotent calls.
	StreamClaims = "claims"
	// StreamBilling holds billing records.
	StreamBilling = "billing"
	// StreamLeases holds the leases on cold backend servers.
	StreamLeases = "leases"
)

// AppendRequest appends records to a stream in the given order.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendResponse gives the offset of the first appended record.
type AppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// ReadResponse is one page of a stream. Offsets of its records are
// consecutive from FirstOffset.
type ReadResponse struct {
	// Oldest is the lowest offset still kept; a read from below it has a gap.
	Oldest int64 `json:"oldest"`
	// Next is the offset that the next append will receive.
	Next int64 `json:"next"`
	// FirstOffset is the offset of the first record of this page.
	FirstOffset int64             `json:"first_offset"`
	Records     []json.RawMessage `json:"records"`
}

// Role says what an instance does.
type Role string

const (
	// RoleEntry is an entry instance of this system.
	RoleEntry Role = "entry"
	// RoleEngine is a backend server that runs a model engine.
	RoleEngine Role = "engine"
	// RoleService is a backend server of a plain service.
	RoleService Role = "service"
)

// InstanceState says whether an instance stays.
type InstanceState string

const (
	// InstanceLive instances take new work.
	InstanceLive InstanceState = "live"
	// InstanceLeaving instances take no new work.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	// ID is unique among the instances alive at one time.
	ID string `json:"id"`
	// Address is an IP number and port.
	Address string `json:"address"`
	// ControlAddress is where an entry instance listens to its peers.
	ControlAddress string `json:"control_address,omitempty"`
	Role           Role   `json:"role"`
	// Serves names the versions of an engine or the plain service.
	Serves        []string      `json:"serves,omitempty"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
	// Incarnation changes with every start of the instance.
	Incarnation string `json:"incarnation,omitempty"`
}

// InstanceList is the platform's lagging view of all instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// RatingRequest asks for the rating of one answer.
type RatingRequest struct {
	RequestID string `json:"request_id"`
	VersionID string `json:"version_id"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Rating is the rating of one answer, 0 to 1.
type Rating struct {
	RequestID string  `json:"request_id"`
	Score     float64 `json:"score"`
}
