// Package brittle bounds how often all instances together are turned away by backend servers
// that end when they have to turn away too many requests.
//
// In a small fleet each instance keeps to the number of requests in progress that a server has
// taken, and tries one more only as often as its static share of that bound allows. Instances
// tell each other which servers have turned requests away, so that all of them keep to what is
// in progress there.
//
// In a large fleet each instance sends few requests to each server, and reports take long. What
// each of them has had in progress is far more in the sum than the server takes. There the
// slots of a server are divided among the instances by rank, and what a server took beyond that
// is kept only while it is in use.
package brittle

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/state/backends"
)

// statedTime is how long a service counts as brittle after one of its servers last said so.
const statedTime = 10 * time.Second

// Server identifies a server.
type Server struct {
	Service string
	ID      string
	// Slots is the number of requests that it processes concurrently; 0 if unknown.
	Slots int
}

// Gate decides whether a brittle server may be sent one more request. It is safe for
// concurrent use.
type Gate struct {
	opts Options
	// active is false while no service is brittle, so that requests take no common lock.
	active   atomic.Bool
	mu       sync.Mutex
	services map[string]*service
	// notBrittleAt is when servers of a service last ended to say that they are brittle.
	notBrittleAt map[string]time.Time
}

// Options configures a Gate. All fields are required.
type Options struct {
	// Instances returns the number of instances that may be running. It must take no
	// locks.
	Instances func() int
	// Large reports whether the fleet is so large that reports take long. It must take no
	// locks.
	Large func() bool
	// Ranks returns the ranks of this instance for a server. It is called without the lock of
	// the Gate, and in a large fleet only.
	Ranks func(id string) Ranks
	// Servers returns the servers of a service. It is called without the lock of the Gate.
	Servers func(service string) []Server
	// InProgress returns the number of requests of this instance in progress at a server.
	// It is called without the lock of the Gate.
	InProgress func(id string) int
	// Changed is called when peers should learn of a change soon. It must take no locks.
	Changed func()
	Log     *logrus.Entry
}

// service is a service whose servers are brittle.
type service struct {
	statedAt time.Time
	// limit is the number of requests that each server can turn away in a second.
	limit   float64
	servers map[string]*room
}

// Active reports whether any service is brittle.
func (g *Gate) Active() bool { return g.active.Load() }

// NewGate returns a Gate that knows of no brittle server.
func NewGate(opts Options) *Gate {
	return &Gate{opts: opts, services: map[string]*service{}, notBrittleAt: map[string]time.Time{}}
}

// Observe records what an answer of a server states: whether its service is brittle, and how
// many requests each server can turn away in a second. load is what it says of its load, nil
// for nothing.
func (g *Gate) Observe(server *Server, isBrittle bool, limit float64, load *backends.Load) {
	if !isBrittle {
		g.remove(server.Service)
		return
	}
	if g.update(server.Service, limit, time.Now()) {
		if load != nil {
			g.observeLoad(server, load)
		}
		return
	}
	g.add(&Statement{Service: server.Service, Limit: limit}, server.ID)
}

// remove removes a service that is no longer brittle.
func (g *Gate) remove(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.services[name] == nil {
		return
	}
	delete(g.services, name)
	g.notBrittleAt[name] = time.Now()
	g.active.Store(len(g.services) > 0)
	g.opts.Log.WithField("event", "service_not_brittle").WithField("service", name).Info("servers no longer say that they are brittle")
}

// update records that a service still states that it is brittle. It reports false if that
// is not known yet.
func (g *Gate) update(name string, limit float64, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.services[name]
	if known != nil && !at.Before(known.statedAt) {
		known.statedAt, known.limit = at, limit
	}
	return known != nil
}

// add adds a service that is brittle, with its servers and the number of requests in
// progress at each of them. stating is the server that said so; empty if a peer did.
func (g *Gate) add(said *Statement, stating string) {
	list := g.opts.Servers(said.Service)
	inProgress := make([]int, len(list))
	for i := range list {
		inProgress[i] = g.opts.InProgress(list[i].ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	statedAt := now.Add(-said.Age)
	if g.services[said.Service] != nil || !statedAt.After(g.notBrittleAt[said.Service]) {
		return
	}
	s := &service{statedAt: statedAt, limit: said.Limit, servers: map[string]*room{}}
	g.services[said.Service] = s
	g.active.Store(true)
	g.opts.Log.WithFields(logrus.Fields{"event": "service_brittle", "service": said.Service, "server": stating, "limit": said.Limit}).
		Warn("servers end when they have to turn away more requests than that in a second")
	for i := range list {
		r := g.room(s, &list[i], now)
		r.most = max(r.most, inProgress[i])
	}
}

// brittle returns the state of a service that is brittle; nil if it is not.
func (g *Gate) brittle(name string, now time.Time) *service {
	s := g.services[name]
	if s != nil && now.Sub(s.statedAt) >= statedTime {
		delete(g.services, name)
		g.active.Store(len(g.services) > 0)
		return nil
	}
	return s
}
