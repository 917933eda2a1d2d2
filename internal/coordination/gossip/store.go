package gossip

import (
	"container/list"
	"time"
)

type entryID struct {
	kind Kind
	key  string
}

// stored is an entry with its position in the local order of changes.
type stored struct {
	entry    Entry
	sequence uint64
	observed time.Time
	// from is the member from which the entry was received; empty for own entries.
	from string
}

// store holds entries in the order of their local changes, so that the changes since
// an earlier exchange are found without a search. It is not safe for concurrent use.
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

// merge stores an entry if it supersedes the present one, and reports whether it did.
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

// clearSource marks the entries that were received from a member as own ones, so that
// they are sent to the member again, since it has lost them.
func (s *store) clearSource(member string) {
	for _, element := range s.byID {
		if st := element.Value.(*stored); st.from == member {
			st.from = ""
		}
	}
}

// remove removes an entry.
func (s *store) remove(kind Kind, key string) {
	id := entryID{kind, key}
	if element, ok := s.byID[id]; ok {
		s.order.Remove(element)
		delete(s.byID, id)
	}
}

// since returns the entries that changed after a sequence number and were not received
// from the given member, oldest change first and up to maxMessageBytes. It also returns
// the sequence number up to which they are complete.
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

// all calls visit for every entry of a kind; visit may remove the entry.
func (s *store) all(kind Kind, visit func(*stored)) {
	for element := s.order.Front(); element != nil; {
		next := element.Next()
		if st := element.Value.(*stored); st.entry.Kind == kind {
			visit(st)
		}
		element = next
	}
}
