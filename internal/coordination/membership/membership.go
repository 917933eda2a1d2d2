// Package membership keeps what an entry instance knows of the other instances
// and of the backend servers: the platform's lagging instance list, corrected
// by what the instances themselves spread.
package membership

import (
	"context"
	"expvar"
	"math/rand/v2"
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
	// minPollInterval is the time between two reads of a short instance list.
	minPollInterval = time.Second
	// rowBytes is the size of a row of the list, and listBytesPerSecond what
	// an instance spends on reading it. A long list is read less often by
	// each; what one instance sees change it spreads.
	rowBytes           = 150
	listBytesPerSecond = 3 << 10
	pollTimeout        = time.Second
	// correctionLifetime is how long spread changes correct a list that may lag.
	correctionLifetime = 3 * time.Minute
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

	mu       sync.Mutex
	entries  []platform.Instance
	servers  []backends.Server
	leaving  bool
	readable bool
	// interval is the time between two reads of the list.
	interval time.Duration
}

// New returns members of which only self is known.
func New(config Config) *Members {
	return &Members{config: config, readable: true, interval: minPollInterval}
}

// Run polls the instance list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for {
		m.Poll(ctx)
		select {
		case <-time.After(m.pollPause()):
		case <-ctx.Done():
			return nil
		}
	}
}

// pollInterval returns the time between two reads of a list of so many rows.
func pollInterval(rows int) time.Duration {
	return max(minPollInterval, time.Duration(rows)*rowBytes*time.Second/listBytesPerSecond)
}

// pollPause returns the interval with jitter, so that the instances' reads
// fall evenly in time and one of them sees a change soon.
func (m *Members) pollPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	const jitterShare = 4
	return m.interval - m.interval/jitterShare + rand.N(m.interval/(jitterShare/2))
}

// Poll reads the instance list once. While it can't be read, the last list
// stays in use, with what other instances spread.
func (m *Members) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := m.config.Source.Instances(ctx)
	m.recordReadResult(err)
	if err != nil {
		pollFailures.Add(1)
	} else {
		m.applyList(list)
	}
	m.applyServers()
}

func (m *Members) recordReadResult(err error) {
	m.mu.Lock()
	changed := m.readable != (err == nil)
	m.readable = err == nil
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

func (m *Members) applyList(list *platform.InstanceList) {
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
	old := m.servers
	m.entries, m.servers = entryInstances, servers
	m.interval = pollInterval(len(list.Instances))
	m.mu.Unlock()
	m.config.Gossip.Join(membersOf(entryInstances))
	m.publishChanges(old, servers)
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
				ID: instance.ID, ControlAddress: instance.ControlAddress, CallerAddress: instance.Address, FailureDomain: instance.FailureDomain,
			})
		}
	}
	return members
}

// applyServers puts the list of backend servers in force.
func (m *Members) applyServers() {
	m.mu.Lock()
	listed := m.servers
	m.mu.Unlock()
	servers := make([]backends.Server, len(listed))
	for i, server := range listed {
		m.correct(&server)
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
	for _, kind := range []gossip.Kind{gossip.KindWarmth, gossip.KindServer} {
		m.config.Gossip.Prune(kind, pruneAge, func(key string) bool { return known[key] })
	}
	m.config.Gossip.Prune(gossip.KindLoad, pruneAge, func(string) bool { return false })
}

// OnEntry takes notice of a spread entry; a server that leaves or starts again
// is corrected at once.
func (m *Members) OnEntry(entry gossip.Entry) {
	if entry.Kind == gossip.KindServer {
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
