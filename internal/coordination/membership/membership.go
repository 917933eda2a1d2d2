// Package membership keeps what an entry instance knows of the other instances
// and of the backend servers, from the platform's lagging instance list.
package membership

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

// Source reads the instance list.
type Source interface {
	Instances(ctx context.Context) (*platform.InstanceList, error)
}

// PollInterval is the time between two reads of the instance list.
const PollInterval = time.Second

const entryWeight = 100

var pollFailures = expvar.NewInt("instance_list_failures")

// Members follows the instance list. It is safe for concurrent use.
type Members struct {
	self   platform.Instance
	source Source
	table  *backends.Table
	ttl    time.Duration

	mu      sync.Mutex
	entries []platform.Instance
	leaving bool
	reached bool
}

// New returns members of which only self is known.
func New(self platform.Instance, source Source, table *backends.Table, ttl time.Duration) *Members {
	return &Members{self: self, source: source, table: table, ttl: ttl, reached: true}
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
// stays in use.
func (m *Members) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PollInterval)
	defer cancel()
	list, err := m.source.Instances(ctx)
	m.noteReached(err)
	if err != nil {
		pollFailures.Add(1)
		return
	}
	m.apply(list)
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

func (m *Members) apply(list *platform.InstanceList) {
	var servers []backends.Server
	var entryInstances []platform.Instance
	for _, instance := range list.Instances {
		if instance.Role == platform.RoleEntry {
			entryInstances = append(entryInstances, instance)
			continue
		}
		servers = append(servers, backends.Server{
			ID:            instance.ID,
			Address:       instance.Address,
			Role:          instance.Role,
			Serves:        instance.Serves,
			FailureDomain: instance.FailureDomain,
			Leaving:       instance.State != platform.InstanceLive,
			Incarnation:   instance.Incarnation,
		})
	}
	m.table.Apply(servers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = entryInstances
}

// Leave takes this instance out of the entries answer for good.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Entries answers which entry instances callers may use. This instance knows
// of itself whether it stays; of the others it knows what the list says.
func (m *Members) Entries() entries.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := entries.Answer{Entries: []entries.Entry{}, TTLMillis: m.ttl.Milliseconds()}
	if !m.leaving {
		answer.Entries = append(answer.Entries, entryOf(m.self))
	}
	for _, instance := range m.entries {
		if instance.ID != m.self.ID && instance.State == platform.InstanceLive {
			answer.Entries = append(answer.Entries, entryOf(instance))
		}
	}
	return answer
}

func entryOf(instance platform.Instance) entries.Entry {
	return entries.Entry{Address: instance.Address, Weight: entryWeight, FailureDomain: instance.FailureDomain}
}

// EntryIDs returns the IDs of the live entry instances, this one included
// unless it leaves.
func (m *Members) EntryIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []string{}
	if !m.leaving {
		ids = append(ids, m.self.ID)
	}
	for _, instance := range m.entries {
		if instance.ID != m.self.ID && instance.State == platform.InstanceLive {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// PeerAddresses returns the control addresses of the other entry instances,
// those that leave included.
func (m *Members) PeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := []string{}
	for _, instance := range m.entries {
		if instance.ID != m.self.ID && instance.ControlAddress != "" {
			addresses = append(addresses, instance.ControlAddress)
		}
	}
	return addresses
}
