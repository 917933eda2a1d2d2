package backends

import (
	"cmp"
	"slices"
)

// setPositions spreads the servers of each version of a target evenly over 0 to
// 1 in the order of their hashes, so that all instances agree on the servers
// that belong to a given share. Leaving servers are skipped.
func setPositions(servers []*Backend) {
	byVersion := map[string][]*Backend{}
	for _, backend := range servers {
		if version, leaving := backend.versionAndLeaving(); !leaving {
			byVersion[version] = append(byVersion[version], backend)
		}
	}
	for _, group := range byVersion {
		slices.SortFunc(group, func(a, b *Backend) int { return cmp.Compare(a.hash, b.hash) })
		for i, backend := range group {
			backend.setPosition((float64(i) + 0.5) / float64(len(group)))
		}
	}
}

func (b *Backend) versionAndLeaving() (version string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.Version, b.server.Leaving
}

func (b *Backend) setPosition(position float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position = position
}
