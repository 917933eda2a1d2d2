// Package entries defines the answer that lists the entry instances to which
// callers can connect.
package entries

// Path is the path at which every entry instance answers GET with an Answer.
const Path = "/v1/entries"

// Answer lists the entry instances that accept new connections.
type Answer struct {
	Entries []Entry `json:"entries"`
	// TTLMillis is the time for which a caller may cache this answer, in
	// milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Entry is one entry instance.
type Entry struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	// Weight is the relative share of connections among the entries.
	Weight        int    `json:"weight"`
	FailureDomain string `json:"failure_domain"`
}
