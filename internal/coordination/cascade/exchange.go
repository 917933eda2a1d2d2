package cascade

// KeyCounts is the counts of one instance for one key, as instances exchange them.
type KeyCounts struct {
	Key    Key    `json:"key"`
	Counts Counts `json:"counts"`
}

// Export returns the counts of this instance. The counts of others are left
// out, so that nothing is counted twice.
func (l *Learner) Export() []KeyCounts {
	var shares []KeyCounts
	for i := range l.shards {
		shares = l.shards[i].export(shares)
	}
	return shares
}

func (s *learnerShard) export(shares []KeyCounts) []KeyCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, counts := range s.own {
		shares = append(shares, KeyCounts{Key: key, Counts: counts})
	}
	return shares
}

// Merge replaces what is known of another instance by its latest export. An
// empty export forgets the instance.
func (l *Learner) Merge(instance string, shares []KeyCounts) {
	byShard := map[*learnerShard]map[Key]Counts{}
	for _, share := range shares {
		s := l.shardOf(share.Key.VersionID)
		if byShard[s] == nil {
			byShard[s] = map[Key]Counts{}
		}
		byShard[s][share.Key] = share.Counts
	}
	for i := range l.shards {
		l.shards[i].merge(instance, byShard[&l.shards[i]])
	}
}

func (s *learnerShard) merge(instance string, counts map[Key]Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peers[instance]
	for key, before := range known {
		s.pool(key, before, counts[key])
	}
	for key, after := range counts {
		if _, ok := known[key]; !ok {
			s.pool(key, Counts{}, after)
		}
	}
	if len(counts) == 0 {
		delete(s.peers, instance)
		return
	}
	s.peers[instance] = counts
}
