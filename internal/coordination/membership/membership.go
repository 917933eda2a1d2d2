// Package membership keeps what an entry instance knows of the other instances
// and of the backend servers: the platform's lagging instance list, corrected
// by what the instances themselves spread.
package membership

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

// Source reads the instance list.
type Source interface {
	Instances(ctx context.Context) (*platform.InstanceList, error)
}

// Gossip is what the entry instances say of each other.
type Gossip interface {
	// Join makes the members of the instance list known.
	Join(members []gossip.Member)
	// Members returns all members, this instance included.
	Members() []gossip.Member
	// Leave says at once that this instance takes no new work.
	Leave()
	// Publish spreads a value.
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
	// Prune forgets entries of a kind that are older than an age and not to
	// be kept.
	Prune(kind gossip.Kind, olderThan time.Duration, keep func(key string) bool)
	// Get returns the value that is known under a key.
	Get(kind gossip.Kind, key string) (gossip.Entry, time.Time, bool)
}

const (
	// PollInterval is the time between two reads of the instance list.
	PollInterval = time.Second
	// leavingHintLife is how long it counts that another instance saw a
	// backend server leave. It covers the lag of the instance list.
	leavingHintLife = time.Minute
	// pruneAge is the age from which entries about servers that are not
	// listed are forgotten.
	pruneAge = 10 * time.Minute
)

var pollFailures = expvar.NewInt("instance_list_failures")

// Config is what Members are made of.
type Config struct {
	Self   platform.Instance
	Source Source
	Gossip Gossip
	Table  *backends.Table
	// TTL is how long callers may keep an entries answer.
	TTL time.Duration
	// DomainOut reports whether operators have taken a failure domain out.
	DomainOut func(failureDomain string) bool
}

// Members follows the instance list. It is safe for concurrent use.
type Members struct {
	config Config

	mu      sync.Mutex
	entries []platform.Instance
	servers []backends.Server
	leaving bool
	reached bool
}

// New returns members of which only self is known.
func New(config Config) *Members {
	return &Members{config: config, reached: true}
}

// Run polls the instance list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		m.Poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Poll reads the instance list once. While it can't be read, the last list
// stays in use, with what other instances spread.
func (m *Members) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PollInterval)
	defer cancel()
	list, err := m.config.Source.Instances(ctx)
	m.noteReached(err)
	if err != nil {
		pollFailures.Add(1)
	} else {
		m.take(list)
	}
	m.applyServers()
}

func (m *Members) noteReached(err error) {
	m.mu.Lock()
	changed := m.reached != (err == nil)
	m.reached = err == nil
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		logrus.WithError(err).Warn("instance list can't be read; the last one stays in use")
		return
	}
	logrus.Info("instance list can be read again")
}

func (m *Members) take(list *platform.InstanceList) {
	var servers []backends.Server
	var entryInstances []platform.Instance
	for _, instance := range list.Instances {
		if instance.Role == platform.RoleEntry {
			entryInstances = append(entryInstances, instance)
		} else {
			servers = append(servers, serverOf(instance))
		}
	}
	m.mu.Lock()
	m.entries, m.servers = entryInstances, servers
	m.mu.Unlock()
	m.config.Gossip.Join(membersOf(entryInstances))
	for _, server := range servers {
		m.spreadLeaving(&server)
	}
}

func serverOf(instance platform.Instance) backends.Server {
	return backends.Server{
		ID:            instance.ID,
		Address:       instance.Address,
		Role:          instance.Role,
		Serves:        instance.Serves,
		FailureDomain: instance.FailureDomain,
		Leaving:       instance.State != platform.InstanceLive,
		Incarnation:   instance.Incarnation,
	}
}

func membersOf(instances []platform.Instance) []gossip.Member {
	var members []gossip.Member
	for _, instance := range instances {
		if instance.State == platform.InstanceLive && instance.ControlAddress != "" {
			members = append(members, gossip.Member{
				ID: instance.ID, Control: instance.ControlAddress, Callers: instance.Address, FailureDomain: instance.FailureDomain,
			})
		}
	}
	return members
}

// spreadLeaving tells the other instances, whose lists may lag more, that a
// backend server leaves. The value names the incarnation that leaves.
func (m *Members) spreadLeaving(server *backends.Server) {
	if !server.Leaving || m.hintedLeaving(server) {
		return
	}
	m.config.Gossip.Publish(gossip.KindLeaving, server.ID, []byte(server.Incarnation), 0, true)
}

// hintedLeaving reports whether an instance saw the server leave of late.
func (m *Members) hintedLeaving(server *backends.Server) bool {
	entry, observed, ok := m.config.Gossip.Get(gossip.KindLeaving, server.ID)
	return ok && string(entry.Value) == server.Incarnation && time.Since(observed) < leavingHintLife
}

// applyServers puts the list of backend servers in force.
func (m *Members) applyServers() {
	m.mu.Lock()
	listed := m.servers
	m.mu.Unlock()
	servers := make([]backends.Server, len(listed))
	for i, server := range listed {
		server.Leaving = server.Leaving || m.hintedLeaving(&server)
		servers[i] = server
	}
	m.config.Table.SetPlace(backends.PlaceOf(m.config.Self.ID, m.EntryIDs()))
	m.config.Table.Apply(servers)
	m.prune(servers)
}

// prune forgets what was spread about servers that are gone.
func (m *Members) prune(servers []backends.Server) {
	known := make(map[string]bool, len(servers))
	for _, server := range servers {
		known[server.ID] = true
	}
	for _, kind := range []gossip.Kind{gossip.KindLoad, gossip.KindWarmth, gossip.KindLeaving} {
		m.config.Gossip.Prune(kind, pruneAge, func(key string) bool { return known[key] })
	}
}

// OnEntry takes notice of a spread entry; a leaving server is barred at once.
func (m *Members) OnEntry(entry gossip.Entry) {
	if entry.Kind == gossip.KindLeaving {
		m.applyServers()
	}
}

// Leave takes this instance out of the entries answer for good and tells the
// others at once.
func (m *Members) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.config.Gossip.Leave()
}
