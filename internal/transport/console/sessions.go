package console

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"sync"
	"time"

	"medlarslip/internal/coordination/configuration"
)

const (
	maxSessions        = 16
	sessionIdleTimeout = 12 * time.Hour
	secretBytes        = 32 // of randomness in a token
)

// newSecret returns a random token of secretBytes in URL-safe base64.
func newSecret() string {
	secret := make([]byte, secretBytes)
	// Read never returns an error, as its documentation says.
	_, _ = rand.Read(secret)
	return base64.RawURLEncoding.EncodeToString(secret)
}

func sameSecret(a, b string) bool {
	return a != "" && subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// session is the state of one signed-in browser. Its lock is held for the whole
// of a request, so the requests of one browser run one at a time.
type session struct {
	id   string
	csrf string

	mu sync.Mutex
	// draft is nil if there are no unpublished changes.
	draft *draft
	// published is the document that this session published last, or nil.
	published *configuration.InForce
	// flash is a message that the next page shows once.
	flash string
}

// sessionStore holds the sessions, limited in number and in idle time.
type sessionStore struct {
	now func() time.Time

	mu       sync.Mutex
	byID     map[string]*session
	lastUsed map[string]time.Time
}

func newSessionStore(now func() time.Time) *sessionStore {
	return &sessionStore{now: now, byID: map[string]*session{}, lastUsed: map[string]time.Time{}}
}

// add creates a session. If there are too many, it drops the least recently used
// one.
func (s *sessionStore) add() *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	for len(s.byID) >= maxSessions {
		s.dropLocked(s.oldestLocked())
	}
	added := &session{id: newSecret(), csrf: newSecret()}
	s.byID[added.id] = added
	s.lastUsed[added.id] = s.now()
	return added
}

// get returns the session of an ID and marks it as used, or returns nil.
func (s *sessionStore) get(id string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	found := s.byID[id]
	if found != nil {
		s.lastUsed[id] = s.now()
	}
	return found
}

func (s *sessionStore) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLocked(id)
}

func (s *sessionStore) dropLocked(id string) {
	delete(s.byID, id)
	delete(s.lastUsed, id)
}

func (s *sessionStore) expireLocked() {
	for id, used := range s.lastUsed {
		if s.now().Sub(used) > sessionIdleTimeout {
			s.dropLocked(id)
		}
	}
}

func (s *sessionStore) oldestLocked() string {
	oldest := ""
	for id, used := range s.lastUsed {
		if oldest == "" || used.Before(s.lastUsed[oldest]) {
			oldest = id
		}
	}
	return oldest
}
