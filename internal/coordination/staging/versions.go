package staging

import (
	"slices"
	"time"
)

// orderLag is how long servers of a new version may be listed before the order
// that introduces them arrives: the two are read from different topics. After
// it, the version counts as an ordinary replacement.
const orderLag = 4 * time.Second

// maxRejected bounds the rejected versions of a service that are remembered; the oldest
// are forgotten first.
const maxRejected = 32

// Versions is the agreed part of a service's history: what an instance that has not
// followed all orders needs in order to apply the next one.
type Versions struct {
	Service string
	// After is the status with which the history was agreed.
	After Status
	// Baseline holds the versions that served the service before the order of After, or
	// its target once that has succeeded.
	Baseline []string
	// Rejected holds the versions that were ordered, and then rolled back or replaced by
	// another order before they succeeded.
	Rejected []string
}

// versionHistory is what an instance knows of the versions of a service.
type versionHistory struct {
	// firstSeen holds when each version was first observed; the zero time for those
	// present at the first observation of the service.
	firstSeen map[string]time.Time
	// observedAt is when the versions were first observed.
	observedAt time.Time
	// present holds the versions that have servers.
	present []string
	// baseline and rejected are as in Versions. A version of the baseline is never
	// rejected.
	baseline, rejected []string
	// replaced holds the versions of the former baseline, whose servers may be listed
	// for a while.
	replaced []string
	// barred holds the rejected versions but for the target of an open order. It is
	// replaced as a whole and never modified.
	barred []string
	// agreed is the latest history that was read; nil if there is none.
	agreed *Versions
}

func (c *Controller) history(service string) *versionHistory {
	h := c.versions[service]
	if h == nil {
		h = &versionHistory{}
		c.versions[service] = h
	}
	return h
}

// ObserveVersions records which versions of a service have servers.
func (c *Controller) ObserveVersions(service string, versions []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.history(service)
	former := h.present
	h.present = slices.Compact(slices.Sorted(slices.Values(versions)))
	firstTime := h.firstSeen == nil
	if firstTime {
		h.firstSeen, h.observedAt = map[string]time.Time{}, c.now()
	}
	for _, version := range h.present {
		if _, known := h.firstSeen[version]; known {
			continue
		}
		h.firstSeen[version] = time.Time{}
		if !firstTime {
			h.firstSeen[version] = c.now()
		}
	}
	if order := c.orders[service]; order != nil && len(h.baseline) == 0 {
		// The order arrived before the first servers.
		h.addBaseline(order.order.Target, c.now())
	}
	if !slices.Equal(former, h.present) {
		c.reconcile(service)
	}
}

// isNew reports whether a version is so new that its order may still arrive.
func (h *versionHistory) isNew(version string, now time.Time) bool {
	at, seen := h.firstSeen[version]
	return seen && now.Sub(at) < orderLag
}

// held returns the versions other than the target that get requests only if there is no
// other: those whose order may still arrive, and those that a rollout has replaced.
func (h *versionHistory) held(target string, now time.Time) []string {
	found := slices.DeleteFunc(slices.Clone(h.replaced), func(version string) bool {
		return version == target || h.inBaseline(version)
	})
	for version := range h.firstSeen {
		if version != target && h.isNew(version, now) && !h.inBaseline(version) {
			found = append(found, version)
		}
	}
	return found
}

// addBaseline adds the versions that are in use when a target is ordered. The target itself
// is in use if the service has had no other version for a while.
func (h *versionHistory) addBaseline(target string, now time.Time) {
	if len(h.baseline) == 0 && h.isBaseline(target) && !h.isNew(target, now) && now.Sub(h.observedAt) >= orderLag {
		h.baseline = []string{target}
	}
	for _, version := range h.present {
		inUse := version != target && !h.isNew(version, now) && !slices.Contains(h.rejected, version) && !slices.Contains(h.replaced, version)
		if inUse && !h.inBaseline(version) {
			h.baseline = append(slices.Clone(h.baseline), version)
		}
	}
}

// isBaseline reports whether a version serves the service already: it is of the baseline, or
// the service has no other version.
func (h *versionHistory) isBaseline(version string) bool {
	if len(h.baseline) > 0 {
		return h.inBaseline(version)
	}
	isOther := func(other string) bool { return other != version && !slices.Contains(h.rejected, other) }
	return slices.Contains(h.present, version) && !slices.ContainsFunc(h.present, isOther)
}

func (h *versionHistory) inBaseline(version string) bool { return slices.Contains(h.baseline, version) }

func (h *versionHistory) reject(version string) {
	if slices.Contains(h.rejected, version) {
		return
	}
	h.rejected = append(slices.Clone(h.rejected), version)
	h.rejected = h.rejected[max(len(h.rejected)-maxRejected, 0):]
}

// reconcile derives the history of a service from its order, its status and what was
// agreed. Orders, statuses and histories are read from different topics, so it gives the
// same result in whatever order they arrive.
func (c *Controller) reconcile(service string) {
	h := c.history(service)
	status, agreed := c.statuses[service]
	order := c.orders[service]
	if h.agreed != nil {
		for _, version := range h.agreed.Rejected {
			h.reject(version)
		}
		if h.agreed.After == status && status.State != Succeeded && len(h.agreed.Baseline) > 0 {
			h.baseline = h.agreed.Baseline
		}
	}
	if agreed && status.State != Succeeded && (order == nil || order.order.Target != status.Target) {
		h.reject(status.Target)
	}
	h.apply(status)
	isOpen := func(version string) bool {
		return order != nil && order.order.Target == version && c.isOpen(order)
	}
	h.barred = slices.DeleteFunc(slices.Clone(h.rejected), isOpen)
	// A restored store may have lost that a version has succeeded. If the service has no other
	// one, only the version that was rolled back last stays out.
	usable := func(version string) bool {
		return (!isOpen(version) || h.inBaseline(version)) && !slices.Contains(h.barred, version)
	}
	if !slices.ContainsFunc(h.present, usable) {
		h.barred = slices.DeleteFunc(h.barred, func(version string) bool {
			return status.State != RolledBack || version != status.Target
		})
	}
}

// apply applies the status of a rollout that has ended. It replaces slices and modifies none.
func (h *versionHistory) apply(status Status) {
	switch status.State {
	case Succeeded:
		if !slices.Equal(h.baseline, []string{status.Target}) {
			h.replaced = h.baseline
			h.baseline = []string{status.Target}
		}
	case RolledBack:
		h.reject(status.Target)
	}
	h.rejected = slices.DeleteFunc(slices.Clone(h.rejected), h.inBaseline)
}

// isUnpublished reports whether instances that start later could not derive the history from
// a status and what was agreed: they would take a version for one that it is not.
func (h *versionHistory) isUnpublished(status Status) bool {
	var rejected []string
	hasBaseline := status.State == Succeeded
	if h.agreed != nil {
		rejected = h.agreed.Rejected
		hasBaseline = hasBaseline || (h.agreed.After == status && len(h.agreed.Baseline) > 0)
	}
	return (!hasBaseline && len(h.baseline) > 0) || slices.ContainsFunc(h.rejected, func(version string) bool {
		return version != status.Target && !slices.Contains(rejected, version)
	})
}

// supersede rejects the target of an order that ends before its version has succeeded.
func (c *Controller) supersede(s *orderState) {
	if c.isOpen(s) {
		c.history(s.order.Service).reject(s.order.Target)
		c.endMoves(s.order.Service, s.order.Target)
	}
}

// isOpen reports whether the rollout of an order has not ended.
func (c *Controller) isOpen(s *orderState) bool {
	status, agreed := c.statuses[s.order.Service]
	return !agreed || status.Target != s.order.Target || status.State == Running
}

// isReturn reports whether an order asks for a version that is in use, so that there is
// nothing to try.
func (c *Controller) isReturn(s *orderState) bool {
	return c.history(s.order.Service).isBaseline(s.order.Target)
}

// IsBaseline reports whether a version is in use: neither on trial, nor rejected, nor so
// new that its order may still arrive.
func (c *Controller) IsBaseline(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.history(service)
	order, ordered := c.orders[service]
	onTrial := ordered && order.order.Target == version && !h.isBaseline(version)
	return !onTrial && !slices.Contains(h.rejected, version) && !h.isNew(version, c.now())
}

// Versions returns the history of a service as it is once a status is agreed.
func (c *Controller) Versions(status Status) Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	then := *c.history(status.Service)
	then.apply(status)
	return Versions{Service: status.Service, After: status, Baseline: then.baseline, Rejected: then.rejected}
}

// SetVersions applies an agreed history.
func (c *Controller) SetVersions(versions Versions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history(versions.Service).agreed = &versions
	c.reconcile(versions.Service)
}
