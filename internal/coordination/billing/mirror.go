package billing

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	heartbeatInterval = 2 * time.Second
	holdTimeout       = 300 * time.Millisecond
	maxHolders        = 3 // instances that one copy tries
)

// ErrNoHolder is the kind of error of a copy that no instance took.
var ErrNoHolder = merry.Sentinel("no instance of another failure domain took the copy of the bills; add instances or mend the network")

// Fleet knows the live entry instances.
type Fleet interface {
	EntryInstances() []platform.Instance
}

// HolderClient calls other instances at their control addresses.
type HolderClient interface {
	Hold(ctx context.Context, address string, message *records.BillCopy) error
}

// Mirror copies bills to one holder in another failure domain, and to the
// next where that one fails. It implements Copier and is safe for concurrent
// use.
type Mirror struct {
	writer records.Writer
	domain string
	fleet  Fleet
	client HolderClient
	// pending returns the bills that a new holder needs.
	pending func() ([]records.Bill, uint64)

	mu            sync.Mutex
	holderAddress string // control address of the holder
}

var _ Copier = (*Mirror)(nil)

// NewMirror returns a mirror of the bills of an instance.
func NewMirror(instance, incarnation, domain string, fleet Fleet, holders HolderClient) *Mirror {
	return &Mirror{
		writer:  records.Writer{Instance: instance, Incarnation: incarnation},
		domain:  domain,
		fleet:   fleet,
		client:  holders,
		pending: func() ([]records.Bill, uint64) { return nil, 0 },
	}
}

// SetPending sets where the bills come from that a new holder needs. It must
// be called before Run.
func (m *Mirror) SetPending(pending func() ([]records.Bill, uint64)) { m.pending = pending }

// Copy implements Copier.
func (m *Mirror) Copy(ctx context.Context, bills []records.Bill) error {
	message := &records.BillCopy{Writer: m.writer, Bills: bills}
	for _, address := range m.candidates() {
		if m.hold(ctx, address, message) == nil {
			m.setHolder(address)
			return nil
		}
	}
	return ErrNoHolder
}

// Appended implements Copier.
func (m *Mirror) Appended(ctx context.Context, through uint64) {
	if address := m.holder(); address != "" {
		_ = m.hold(ctx, address, &records.BillCopy{Writer: m.writer, Appended: through})
	}
}

// Instances implements Copier.
func (m *Mirror) Instances() int { return len(m.fleet.EntryInstances()) }

// Run tells the holder that this instance lives, and finds another where it
// does not answer or has left, until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	pause.Every(ctx, heartbeatInterval, func() { m.heartbeat(ctx) })
	return nil
}

func (m *Mirror) heartbeat(ctx context.Context) {
	bills, through := m.pending()
	if len(bills) == 0 {
		return
	}
	address := m.holder()
	message := &records.BillCopy{Writer: m.writer, Appended: through}
	if address != "" && slices.Contains(m.candidates(), address) && m.hold(ctx, address, message) == nil {
		return
	}
	m.setHolder("")
	for chunk := range slices.Chunk(bills, maxBillsPerCopy) {
		if m.Copy(ctx, chunk) != nil {
			return // the next beat tries again
		}
	}
}

func (m *Mirror) hold(ctx context.Context, address string, message *records.BillCopy) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	return m.client.Hold(ctx, address, message)
}

func (m *Mirror) holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holderAddress
}

func (m *Mirror) setHolder(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holderAddress = address
}

// candidates returns the addresses to try: the holder in use first, then
// others in an order that spreads the owners over the fleet.
func (m *Mirror) candidates() []string {
	current := m.holder()
	others := slices.DeleteFunc(m.fleet.EntryInstances(), func(i platform.Instance) bool {
		return i.ID == m.writer.Instance || i.FailureDomain == m.domain || i.ControlAddress == ""
	})
	rank := func(i platform.Instance) uint64 {
		if i.ControlAddress == current {
			return 0
		}
		return 1 + xxhash.Sum64String(m.writer.Instance+"/"+i.ID)>>1
	}
	slices.SortFunc(others, func(a, b platform.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	addresses := []string{}
	for _, instance := range others[:min(len(others), maxHolders)] {
		addresses = append(addresses, instance.ControlAddress)
	}
	return addresses
}
