// Package discovery keeps the table of backend servers up to date with their
// entries in a store, and bridges the entries that lapse while the store is
// away.
package discovery

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/backends"
)

// Options are what a Registry works with.
type Options struct {
	Table *backends.Table
	// OnVersions takes notice of the versions of a service that have servers.
	OnVersions func(service string, versions []string)
	// RegainedAt returns when the store answered again after an outage; 0 if
	// there was none.
	RegainedAt func() boottime.Instant
	// LapseGrace is the time after that in which a missing entry may come back.
	LapseGrace time.Duration
	Log        *logrus.Entry
}

// Registry holds the servers by their IDs. It is safe for concurrent use.
type Registry struct {
	opts Options
	mu   sync.Mutex
	byID map[string]backends.Server
	// lapsed holds the servers whose entries went missing around an outage,
	// with the moment at which they count as gone.
	lapsed map[string]time.Time
	dirty  bool
}

// New returns an empty registry.
func New(opts Options) *Registry {
	return &Registry{opts: opts, byID: map[string]backends.Server{}, lapsed: map[string]time.Time{}}
}

// IDs returns the IDs of the servers that are known.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}

// Put takes over the entry of a server.
func (r *Registry) Put(server backends.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = true
	delete(r.lapsed, server.ID)
	known, ok := r.byID[server.ID]
	r.byID[server.ID] = server
	if ok && known.Leaving == server.Leaving && known.Incarnation == server.Incarnation && !known.Unconfirmed {
		return
	}
	r.opts.Log.WithFields(logrus.Fields{
		"event": "server_known", "server": server.ID, "service": server.Serves, "address": server.Address,
		"version": server.Version, "leaving": server.Leaving, "failure_domain": server.FailureDomain,
	}).Info("entry of a server is new or changed")
}

// Remove takes out a server whose entry is gone. Shortly after an outage of the
// store it stays for the case that there is no other, since its entry may come
// back.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, ok := r.byID[id]
	if !ok {
		return
	}
	r.dirty = true
	since := boottime.Now().Since(r.opts.RegainedAt())
	recent := r.opts.RegainedAt() != 0 && since < r.opts.LapseGrace
	if recent && !server.Leaving {
		server.Unconfirmed = true
		r.byID[id] = server
		if _, waiting := r.lapsed[id]; !waiting {
			r.lapsed[id] = time.Now().Add(r.opts.LapseGrace - since)
		}
	} else {
		r.drop(id)
	}
	r.opts.Log.WithFields(logrus.Fields{"event": "server_gone", "server": id, "address": server.Address, "after_outage": recent}).Info("entry of a server is gone")
}

// Drop takes out a server whose entry can't be used.
func (r *Registry) Drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = true
	r.drop(id)
}

func (r *Registry) drop(id string) {
	delete(r.byID, id)
	delete(r.lapsed, id)
}

// Publish hands the servers to the table if anything changed.
func (r *Registry) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, until := range r.lapsed {
		if now.After(until) {
			r.drop(id)
			r.dirty = true
		}
	}
	if !r.dirty {
		return
	}
	r.dirty = false
	list := make([]backends.Server, 0, len(r.byID))
	versions := map[string][]string{}
	for _, server := range r.byID {
		list = append(list, server)
		for _, service := range server.Serves {
			versions[service] = append(versions[service], server.Version)
		}
	}
	// Versions first, so that none is used before it is known to be new.
	for service, seen := range versions {
		r.opts.OnVersions(service, seen)
	}
	r.opts.Table.Apply(list)
}

// Serving returns the number of servers of a version that take requests.
func (r *Registry) Serving(service, version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, server := range r.byID {
		if server.Version == version && server.Serves[0] == service && !server.Leaving && !server.Unconfirmed {
			count++
		}
	}
	return count
}
