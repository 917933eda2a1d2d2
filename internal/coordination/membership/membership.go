// Package membership tracks the other instances and the backend servers for an
// entry instance. It combines the platform's instance list, which may be stale,
// with newer state that the instances propagate by gossip.
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
	// Instances returns the current instance list of the platform.
	Instances(ctx context.Context) (*platform.InstanceList, error)
}

// Gossip is the gossip node of this instance.
type Gossip interface {
	// Join adds the members of the instance list.
	Join(members []gossip.Member)
	// Members returns all members, this instance included.
	Members() []gossip.Member
	// Leave announces at once that this instance accepts no new work.
	Leave()
	// Publish propagates a new value under a key; ageOf is the age of the value, and
	// urgent values are sent at once.
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
	// Prune removes the entries of a kind that are older than an age, except those
	// whose key keep selects.
	Prune(kind gossip.Kind, olderThan time.Duration, keep func(key string) bool)
	// Get returns the entry under a key and when its value was observed; false if
	// there is none.
	Get(kind gossip.Kind, key string) (gossip.Entry, time.Time, bool)
}

const (
	// minPollInterval is the time between two reads of a short instance list.
	// Longer lists are read less often, see listBytesPerSecond.
	minPollInterval = time.Second
	// rowBytes is the approximate size of a row of the list, and listBytesPerSecond
	// the bandwidth that an instance uses to read it. Each instance reads a long
	// list less often, which is enough since each propagates the changes that it
	// observes.
	rowBytes           = 150
	listBytesPerSecond = 3 << 10
	pollTimeout        = time.Second
	// correctionLifetime is how long propagated changes override the list, which
	// may be stale.
	correctionLifetime = 3 * time.Minute
	// pruneAge is the age at which gossip entries about unlisted backend servers are
	// removed.
	pruneAge = 10 * time.Minute
)

var pollFailures = expvar.NewInt("instance_list_failures")

// Config configures Members.
type Config struct {
	Self   platform.Instance
	Source Source
	Gossip Gossip
	Table  *backends.Table
	// TTL is how long callers may cache the list of entry instances.
	TTL time.Duration
	// DomainOut reports whether operators have taken a failure domain out of
	// service; nil means that none is.
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

// New returns members without an instance list.
func New(config Config) *Members {
	return &Members{config: config, readable: true, interval: minPollInterval}
}

// Run polls the instance list until ctx ends and returns nil then.
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

// pollInterval returns the time between two reads of a list with the given number
// of rows.
func pollInterval(rows int) time.Duration {
	return max(minPollInterval, time.Duration(rows)*rowBytes*time.Second/listBytesPerSecond)
}

// pollPause returns the poll interval with jitter, which spreads the reads of the
// instances evenly over time, so that one of them observes a change soon.
func (m *Members) pollPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	const jitterShare = 4
	return m.interval - m.interval/jitterShare + rand.N(m.interval/(jitterShare/2))
}

// Poll reads the instance list once. If the read fails, the last list stays in
// use, combined with the changes that other instances propagate.
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

// applyServers applies the listed backend servers, with corrections, to the table.
func (m *Members) applyServers() {
	m.mu.Lock()
	listed := m.servers
	m.mu.Unlock()
	servers := make([]backends.Server, len(listed))
	for i, server := range listed {
		m.correct(&server)
		servers[i] = server
	}
	m.config.Table.SetRank(backends.RankOf(m.config.Self.ID, m.EntryIDs()))
	m.config.Table.Apply(servers)
	m.prune(servers)
}

// prune removes old gossip entries about backend servers that are not listed, and
// old load entries.
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

// OnEntry handles a changed gossip entry. Backend servers that are leaving or have
// restarted are corrected at once.
func (m *Members) OnEntry(entry gossip.Entry) {
	if entry.Kind == gossip.KindServer {
		m.applyServers()
	}
}

// Leave permanently removes this instance from the entry instances and announces
// that to the others at once.
func (m *Members) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.config.Gossip.Leave()
}
