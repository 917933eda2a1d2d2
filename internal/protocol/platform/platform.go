// Package platform defines the messages of the platform's services, which are the
// log service, instance list, rating service and weight store. All use JSON over
// HTTP.
package platform

import "encoding/json"

// Paths of the platform's services. The path of the log service ends with the
// name of a stream.
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

// Names of the streams that the system writes on the log service.
const (
	// StreamConfiguration holds signed configuration envelopes.
	StreamConfiguration = "configuration"
	// StreamAudit holds the audit trail of automatic changes.
	StreamAudit = "audit"
	// StreamClaims holds the claims and outcomes of non-idempotent calls.
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
	// Oldest is the lowest retained offset; a read from below it has a gap.
	Oldest int64 `json:"oldest"`
	// Next is the offset of the next record to be appended.
	Next int64 `json:"next"`
	// FirstOffset is the offset of the first record of this page.
	FirstOffset int64             `json:"first_offset"`
	Records     []json.RawMessage `json:"records"`
}

// Role is the function of an instance.
type Role string

const (
	// RoleEntry is an entry instance of this system.
	RoleEntry Role = "entry"
	// RoleEngine is a backend server that runs a model engine.
	RoleEngine Role = "engine"
	// RoleService is a backend server of a plain service.
	RoleService Role = "service"
)

// InstanceState says whether an instance accepts new work.
type InstanceState string

const (
	// InstanceLive instances accept new work.
	InstanceLive InstanceState = "live"
	// InstanceLeaving instances accept no new work.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	// ID is unique among the instances alive at one time.
	ID string `json:"id"`
	// Address is an IP address and port.
	Address string `json:"address"`
	// ControlAddress is the address at which an entry instance listens for its
	// peers.
	ControlAddress string `json:"control_address,omitempty"`
	Role           Role   `json:"role"`
	// Serves names the versions of an engine or the plain service.
	Serves        []string      `json:"serves,omitempty"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
	// Incarnation changes with every start of the instance.
	Incarnation string `json:"incarnation,omitempty"`
}

// InstanceList is the platform's list of all instances, which may be stale.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// RatingRequest requests the rating of one answer.
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
