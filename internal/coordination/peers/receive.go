package peers

// handle processes a received datagram. It reports whether it is the first one of its
// sender's run.
func (t *Table) handle(d *datagram) bool {
	name := d.Instance.Name
	if name == "" || name == t.opts.Name {
		return false
	}
	t.heard(name)
	t.mergeSuspicions(d)
	t.opts.OnPayload(&d.Instance, &d.Payload, d.Echo.Echoed)
	if at, ok := d.provenAt(); ok {
		t.opts.OnProof(d.Proof, at)
	}
	first, reorder := t.update(d)
	if reorder {
		t.updateOrder()
	}
	return first
}

// update stores the state of the sender. It reports whether the datagram is the first
// one of its sender's run, and whether the order of the leaders must be updated.
func (t *Table) update(d *datagram) (first, reorder bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[d.Instance.Name]
	now := &peer{instance: d.Instance, receivedAt: t.opts.Now(), echo: d.Echo.Sent}
	t.set(d.Instance.Name, now)
	if d.Roster != nil {
		now.roster = t.applyDelta(old, d.Roster)
	} else if old != nil {
		now.roster = old.roster
	}
	if old != nil && old.instance.Run == d.Instance.Run {
		now.relays = old.relays
		now.relays.acknowledge(d.Echo.Echoed)
	}
	if old == nil {
		return true, true
	}
	first = old.receivedAt.IsZero() || old.instance.Run != d.Instance.Run
	reorder = old.instance.StoreLost != d.Instance.StoreLost || old.instance.StoreReached != d.Instance.StoreReached || old.instance.Ready != d.Instance.Ready ||
		old.instance.Leaving != d.Instance.Leaving
	return first, reorder
}
