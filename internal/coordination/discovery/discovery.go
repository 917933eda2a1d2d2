// Package discovery keeps the table of backend servers up to date with their
// entries in a store. Entries that lapse during an outage of the store have a grace
// period in which they may return.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/backends"
)

// Options configures a Registry. All fields are required.
type Options struct {
	Table *backends.Table
	// OnVersions is called with the versions of a service that have servers, before
	// these servers are applied to the table.
	OnVersions func(service string, versions []string)
	// RegainedAt returns when the store answered again after an outage; 0 if
	// there was none.
	RegainedAt func() boottime.Instant
	// LapseGrace is the time after the end of an outage in which a missing entry may
	// return.
	LapseGrace time.Duration
	// Clock is the clock of RegainedAt; nil means boottime.Now.
	Clock func() boottime.Instant
	Log   *logrus.Entry
}

// Age orders the entries that servers wrote under one ID; the zero value is unknown.
type Age struct {
	// Started is the start of the server in milliseconds of Unix time.
	Started int64
	// Sequence rises with each entry that the server writes.
	Sequence int64
}

// before reports whether an entry is older than another one.
func (a Age) before(b Age) bool {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Sequence, b.Sequence)) < 0
}

// removal is the removal of an entry.
type removal struct {
	age Age
	at  time.Time
}

// removalMemory is how long removed entries are remembered: well above the age of a
// copy from which a store is restored.
const removalMemory = time.Minute

// Registry holds the backend servers by ID. It is safe for concurrent use.
type Registry struct {
	opts Options
	// publishing orders the calls of OnVersions and of the table. It is held while other
	// parts are called, so nothing but Publish may take it.
	publishing sync.Mutex
	// mu is never held while another part is called, except for logging.
	mu   sync.Mutex
	byID map[string]backends.Server
	// ages holds the ages of the entries in byID; removed those of the entries that
	// were removed recently.
	ages    map[string]Age
	removed map[string]removal
	// lapsed maps the servers whose entries were removed shortly after an outage to
	// the moment at which their grace period ends.
	lapsed map[string]time.Time
	dirty  bool
}

// New returns an empty registry.
func New(opts Options) *Registry {
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	return &Registry{
		opts: opts, byID: map[string]backends.Server{}, ages: map[string]Age{}, removed: map[string]removal{}, lapsed: map[string]time.Time{},
	}
}

// IDs returns the IDs of all servers in the registry.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}

// Put adds or replaces the entry of a server.
func (r *Registry) Put(server backends.Server, age Age) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(server, age)
}

// Merge adds or replaces the entry of a server that was read from a restored store. It
// ignores an entry that is older than the known one, or not newer than one that was
// removed.
func (r *Registry) Merge(server backends.Server, age Age) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, present := r.ages[server.ID]
	gone, removed := r.removed[server.ID]
	if (present && age.before(known)) || (!present && removed && !gone.age.before(age)) {
		r.opts.Log.WithFields(logrus.Fields{"event": "server_entry_older", "server": server.ID, "removed": !present}).
			Info("restored store lists an older entry of a server; ignoring it")
		return
	}
	r.put(server, age)
}

func (r *Registry) put(server backends.Server, age Age) {
	r.dirty = true
	r.ages[server.ID] = age
	delete(r.removed, server.ID)
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

// Remove removes a server whose entry was removed from the store. Shortly after an
// outage of the store, a server that is not leaving stays as unconfirmed until the
// grace period ends, for use if there is no other, since its entry may return.
func (r *Registry) Remove(id string) {
	regained := r.opts.RegainedAt()
	since := r.opts.Clock().Since(regained)
	recent := regained != 0 && since < r.opts.LapseGrace
	r.mu.Lock()
	defer r.mu.Unlock()
	server, ok := r.byID[id]
	if !ok {
		return
	}
	r.dirty = true
	if recent && !server.Leaving {
		server.Unconfirmed = true
		r.byID[id] = server
		if _, waiting := r.lapsed[id]; !waiting {
			r.lapsed[id] = time.Now().Add(r.opts.LapseGrace - since)
		}
	} else {
		r.drop(id)
	}
	r.opts.Log.WithFields(logrus.Fields{"event": "server_gone", "server": id, "address": server.Address, "after_outage": recent}).Info("entry of a server was removed")
}

// Drop removes a server whose entry can't be used, without a grace period.
func (r *Registry) Drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = true
	r.drop(id)
}

func (r *Registry) drop(id string) {
	if age, known := r.ages[id]; known {
		r.removed[id] = removal{age, time.Now()}
	}
	delete(r.ages, id)
	delete(r.byID, id)
	delete(r.lapsed, id)
}

// Publish applies the servers to the table if anything has changed. It removes the
// servers whose grace period has ended.
func (r *Registry) Publish() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	list, changed := r.takeChanges(time.Now())
	if !changed {
		return
	}
	versions := map[string][]string{}
	for i := range list {
		for _, service := range list[i].Serves {
			versions[service] = append(versions[service], list[i].Version)
		}
	}
	// Report versions first, so that none is used before it is recognised as new.
	for service, seen := range versions {
		r.opts.OnVersions(service, seen)
	}
	r.opts.Table.Apply(list)
}

// takeChanges returns all servers, and whether anything has changed since the last call.
func (r *Registry) takeChanges(now time.Time) (list []backends.Server, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.removed, func(_ string, removed removal) bool { return now.Sub(removed.at) >= removalMemory })
	for id, until := range r.lapsed {
		if now.After(until) {
			r.drop(id)
			r.dirty = true
		}
	}
	if !r.dirty {
		return nil, false
	}
	r.dirty = false
	return slices.Collect(maps.Values(r.byID)), true
}

// Serving returns the number of servers of a version that accept requests: those
// that are neither leaving nor unconfirmed nor known to be unreachable. The entry of a
// server outlasts its end for some time.
func (r *Registry) Serving(service, version string) int {
	count := 0
	for _, id := range r.candidates(service, version) {
		backend := r.opts.Table.Get(id)
		if backend == nil || backend.Snapshot().Failures < backends.UnreachableFailures {
			count++
		}
	}
	return count
}

// candidates returns the IDs of the servers of a version that are neither leaving nor
// unconfirmed.
func (r *Registry) candidates(service, version string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, server := range r.byID {
		if server.Version == version && server.Serves[0] == service && !server.Leaving && !server.Unconfirmed {
			ids = append(ids, id)
		}
	}
	return ids
}
