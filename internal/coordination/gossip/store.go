package gossip

import (
	"container/list"
	"time"
)

type entryID struct {
	kind Kind
	key  string
}

// stored is an entry with its local place in the order of changes.
type stored struct {
	entry    Entry
	sequence uint64
	observed time.Time
	// from is the member that the entry came from; empty for own entries.
	from string
}

// store holds entries in the order in which they changed here, so that what
// changed since an earlier exchange is found without a search. It is not safe
// for concurrent use.
type store struct {
	byID     map[entryID]*list.Element
	order    *list.List
	sequence uint64
}

func newStore() *store {
	return &store{byID: map[entryID]*list.Element{}, order: list.New()}
}

func (s *store) get(kind Kind, key string) *stored {
	element, ok := s.byID[entryID{kind, key}]
	if !ok {
		return nil
	}
	return element.Value.(*stored)
}

// merge takes over an entry if it supersedes what is there.
func (s *store) merge(e Entry, from string, now time.Time) bool {
	id := entryID{e.Kind, e.Key}
	old := s.byID[id]
	if old != nil && !e.supersedes(&old.Value.(*stored).entry) {
		return false
	}
	if old != nil {
		s.order.Remove(old)
	}
	s.sequence++
	observed := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
	s.byID[id] = s.order.PushBack(&stored{entry: e, sequence: s.sequence, observed: observed, from: from})
	return true
}

// clearSource makes entries that came from a member count as own, since the
// member has lost them.
func (s *store) clearSource(member string) {
	for _, element := range s.byID {
		if st := element.Value.(*stored); st.from == member {
			st.from = ""
		}
	}
}

// remove forgets an entry.
func (s *store) remove(kind Kind, key string) {
	id := entryID{kind, key}
	if element, ok := s.byID[id]; ok {
		s.order.Remove(element)
		delete(s.byID, id)
	}
}

// since returns entries changed after a sequence that did not come from the
// given member, oldest change first and at most maxMessageBytes, with the
// sequence up to which they are complete.
func (s *store) since(after uint64, member string, now time.Time) ([]Entry, uint64) {
	first := s.order.Back()
	if first == nil || first.Value.(*stored).sequence <= after {
		return nil, s.sequence
	}
	for first.Prev() != nil && first.Prev().Value.(*stored).sequence > after {
		first = first.Prev()
	}
	var entries []Entry
	size := 0
	for element := first; element != nil; element = element.Next() {
		st := element.Value.(*stored)
		if st.from == member {
			continue
		}
		size += entryOverhead + len(st.entry.Key) + len(st.entry.Value)
		if size > maxMessageBytes && len(entries) > 0 {
			return entries, st.sequence - 1
		}
		entry := st.entry
		entry.AgeMillis = age(st.observed, now)
		entries = append(entries, entry)
	}
	return entries, s.sequence
}

// all calls visit with every entry of a kind.
func (s *store) all(kind Kind, visit func(*stored)) {
	for element := s.order.Front(); element != nil; {
		next := element.Next()
		if st := element.Value.(*stored); st.entry.Kind == kind {
			visit(st)
		}
		element = next
	}
}
