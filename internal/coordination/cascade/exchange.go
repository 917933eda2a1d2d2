package cascade

// KeyCounts holds the counts of one instance for one key, as exchanged between
// instances.
type KeyCounts struct {
	Key    Key    `json:"key"`
	Counts Counts `json:"counts"`
}

// Export returns the counts of this instance. It leaves out the counts of other
// instances, so that nothing is counted twice.
func (l *Learner) Export() []KeyCounts {
	var exported []KeyCounts
	for i := range l.shards {
		exported = l.shards[i].export(exported)
	}
	return exported
}

func (s *learnerShard) export(exported []KeyCounts) []KeyCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, counts := range s.own {
		exported = append(exported, KeyCounts{Key: key, Counts: counts})
	}
	return exported
}

// Merge replaces the counts of another instance by its latest export. An empty
// export removes the instance.
func (l *Learner) Merge(instance string, received []KeyCounts) {
	byShard := map[*learnerShard]map[Key]Counts{}
	for _, entry := range received {
		s := l.shardOf(entry.Key.VersionID)
		if byShard[s] == nil {
			byShard[s] = map[Key]Counts{}
		}
		byShard[s][entry.Key] = entry.Counts
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
