package peers

// Announce triggers a round of datagrams ahead of schedule, to propagate a
// change. It does not block.
func (t *Table) Announce() {
	select {
	case t.announce <- struct{}{}:
	default:
	}
}

// AnnounceLoad propagates soon that a backend server was just sent a prompt. In a
// large fleet only the busy instances receive it. It does not block.
func (t *Table) AnnounceLoad() {
	if !t.Large() {
		t.Announce()
		return
	}
	select {
	case t.announceLoad <- struct{}{}:
	default:
	}
}

// AnnounceUrgent sends the urgent payload soon to the instances that an announced round
// reaches. It requests no replies, and does not block.
func (t *Table) AnnounceUrgent() {
	select {
	case t.announceUrgent <- struct{}{}:
	default:
	}
}
