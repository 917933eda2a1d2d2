package document

// Reduces reports whether a change lowers a limit that clients rely on: a time limit, the
// number of requests in flight, or a priority.
func Reduces(change Change, before, after *Index) bool {
	switch change.Section {
	case SectionKinds:
		old, kind := before.Kind(change.Name), after.Kind(change.Name)
		return old != nil && kind != nil &&
			(kind.FirstTokenMillis < old.FirstTokenMillis || kind.TotalMillis < old.TotalMillis || kind.Priority > old.Priority)
	case SectionServices:
		old, service := before.Service(change.Name), after.Service(change.Name)
		return old != nil && service != nil && service.TimeoutMillis < old.TimeoutMillis
	case SectionAccounts:
		old, account := before.Account(change.Name), after.Account(change.Name)
		return old != nil && account != nil && account.MaxInFlight < old.MaxInFlight
	default:
		return false
	}
}
