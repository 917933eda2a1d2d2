package gateway

import (
	"net/http"
	"sync"
	"time"
)

const (
	// clientErrorMemory is how long a client error of a session is remembered.
	clientErrorMemory = time.Minute
	// maxClientErrors bounds the sessions that are remembered.
	maxClientErrors = 1 << 12
)

// clientErrors finds repeated client errors (RFC 9110, section 15.5). A session whose requests
// are invalid gets them from any version, but all of its requests go to the same one. So
// only the first one of a session is evidence about a version.
type clientErrors struct {
	mu    sync.Mutex
	first map[clientErrorKey]time.Time
}

type clientErrorKey struct {
	session uint64
	version string
}

func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// repeated notes a client error, and reports whether the session had one from the version
// before.
func (c *clientErrors) repeated(session uint64, version string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := clientErrorKey{session, version}
	if at, known := c.first[key]; known && now.Sub(at) < clientErrorMemory {
		return true
	}
	if c.first == nil || len(c.first) >= maxClientErrors {
		c.first = map[clientErrorKey]time.Time{}
	}
	c.first[key] = now
	return false
}
