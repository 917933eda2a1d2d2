// Package entries defines the answer that tells callers which entry instances
// to connect to.
package entries

// Path is where every entry instance answers GET with an Answer.
const Path = "/v1/entries"

// Answer lists the entry instances that take new connections.
type Answer struct {
	Entries []Entry `json:"entries"`
	// TTLMillis is how long a caller may keep this answer, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Entry is one entry instance.
type Entry struct {
	// Address is an IP number and port.
	Address string `json:"address"`
	// Weight is the share of connections relative to the other entries.
	Weight        int    `json:"weight"`
	FailureDomain string `json:"failure_domain"`
}
