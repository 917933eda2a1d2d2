package console

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/adminapi"
)

const (
	pollPeriod       = 2 * time.Second
	idlePollPeriod   = 30 * time.Second // if no page was shown for viewedWindow
	viewedWindow     = time.Minute
	pollTimeout      = 2 * time.Second
	maxParallelPolls = 16
)

// InstanceList reads the platform's instance list.
type InstanceList interface {
	Instances(ctx context.Context) (*platform.InstanceList, error)
}

// StatusReader reads the status and metrics pages of an entry instance.
type StatusReader interface {
	Status(ctx context.Context, address string) (*adminapi.Status, error)
	// Metrics returns the metrics that the instance publishes, by name.
	Metrics(ctx context.Context, address string) ([]Metric, error)
}

// entryView is the last observed state of one entry instance.
type entryView struct {
	ID            string
	FailureDomain string
	// ListedState is its state in the instance list.
	ListedState platform.InstanceState
	address     string
	// Status is the last status that was read; zero for none.
	Status adminapi.Status
	// StatusAt is the time when Status was read; zero for never.
	StatusAt time.Time
	// Reachable is true if the last read of the status succeeded.
	Reachable bool
}

// fleetView is the last observed state of the fleet.
type fleetView struct {
	Entries []entryView
	Servers []platform.Instance
	// ListAt is the time when the instance list was read; zero for never.
	ListAt time.Time
	// ListDown is true if the last read of the list failed.
	ListDown bool
}

// liveServers returns the backend servers whose listed state is live, or nil if
// the instance list was never read.
func (v *fleetView) liveServers() []document.Server {
	if v.ListAt.IsZero() {
		return nil
	}
	servers := []document.Server{}
	for _, server := range v.Servers {
		if server.State == platform.InstanceLive {
			servers = append(servers, document.Server{FailureDomain: server.FailureDomain, Serves: server.Serves})
		}
	}
	return servers
}

// fleetPoller polls the instance list and the status of every entry instance.
// It polls more often for a while after a page was shown.
type fleetPoller struct {
	list      InstanceList
	status    StatusReader
	addresses settings.ConsoleFleet
	now       func() time.Time
	// wake starts the next poll at once when a page is shown after a pause.
	wake chan struct{}

	mu         sync.Mutex
	view       fleetView
	lastViewed time.Time
	// metrics holds the last metrics of the listed instances, by instance ID.
	metrics map[string]metricsView
}

func newFleetPoller(opts *Options) *fleetPoller {
	return &fleetPoller{list: opts.Instances, status: opts.Status, addresses: opts.Fleet, now: opts.Now, wake: make(chan struct{}, 1), metrics: map[string]metricsView{}}
}

// run polls until ctx ends. The period depends on when a page was last shown.
func (f *fleetPoller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.poll(ctx)
		timer := time.NewTimer(f.period())
		select {
		case <-timer.C:
		case <-f.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

func (f *fleetPoller) period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now().Sub(f.lastViewed) < viewedWindow {
		return pollPeriod
	}
	return idlePollPeriod
}

// snapshot returns a copy of the current view for a page. It records that a page
// is shown, which shortens the poll period.
func (f *fleetPoller) snapshot() fleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now().Sub(f.lastViewed) >= viewedWindow {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	f.lastViewed = f.now()
	view := f.view
	view.Entries = slices.Clone(f.view.Entries)
	return view
}

// poll reads the instance list and every status once. If the list can't be read,
// it reads the status of the instances listed last.
func (f *fleetPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := f.list.Instances(ctx)
	f.mu.Lock()
	f.view.ListDown = err != nil
	if err == nil {
		f.applyListLocked(list)
	}
	entries := slices.Clone(f.view.Entries)
	f.mu.Unlock()
	f.readStatuses(ctx, entries)
	f.mu.Lock()
	f.view.Entries = entries
	f.mu.Unlock()
}

func (f *fleetPoller) applyListLocked(list *platform.InstanceList) {
	var entries []entryView
	f.view.Servers = nil
	for _, instance := range list.Instances {
		if instance.Role == platform.RoleEntry {
			entries = append(entries, f.entryLocked(instance))
			continue
		}
		f.view.Servers = append(f.view.Servers, instance)
	}
	slices.SortFunc(entries, func(a, b entryView) int { return strings.Compare(a.ID, b.ID) })
	f.view.Entries = entries
	f.view.ListAt = f.now()
	maps.DeleteFunc(f.metrics, func(id string, _ metricsView) bool {
		return !slices.ContainsFunc(entries, func(e entryView) bool { return e.ID == id })
	})
}

// entryLocked returns the view of a listed instance with its last known status.
func (f *fleetPoller) entryLocked(instance platform.Instance) entryView {
	entry := entryView{ID: instance.ID}
	for _, known := range f.view.Entries {
		if known.ID == instance.ID {
			entry = known
		}
	}
	entry.FailureDomain, entry.ListedState = instance.FailureDomain, instance.State
	entry.address = f.metricsAddress(instance)
	return entry
}

func (f *fleetPoller) metricsAddress(instance platform.Instance) string {
	for _, metrics := range f.addresses.MetricsAddresses {
		if metrics.Instance == instance.ID {
			return metrics.Address
		}
	}
	host, _, err := net.SplitHostPort(instance.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(f.addresses.MetricsPort))
}

func (f *fleetPoller) readStatuses(ctx context.Context, entries []entryView) {
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for i := range entries {
		group.Go(func() error {
			entry := &entries[i]
			status, err := f.status.Status(ctx, entry.address)
			// Another instance may have taken over the address; its status
			// is ignored.
			entry.Reachable = err == nil && status.Instance == entry.ID
			if entry.Reachable {
				entry.Status, entry.StatusAt = *status, f.now()
			}
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
}
