package quarantine

import (
	"maps"
	"slices"
)

// Load puts keys that were stored under quarantine, from now on.
func (d *Detector) Load(kind Kind, keys []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, t := d.opts.Now(), d.tracker(kind)
	for _, key := range keys {
		t.block(key, now)
		if e := t.blocked[key]; e != nil {
			e.stored = true
		}
	}
}

// Loaded records that the stored keys of all kinds were loaded.
func (d *Detector) Loaded() { d.storedKnown.Store(true) }

// StoredKnown reports whether the stored quarantines were loaded, or a peer has said that
// there are none.
func (d *Detector) StoredKnown() bool { return d.storedKnown.Load() }

// Unstored returns the keys of a kind whose quarantine is not stored yet, and those that
// are no longer under quarantine and may still be stored.
func (d *Detector) Unstored(kind Kind) (blocked, lifted []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, t := d.opts.Now(), d.tracker(kind)
	for key, e := range t.blocked {
		if !e.stored && t.dueForStore(e, now) {
			blocked = append(blocked, key)
		}
	}
	return blocked, slices.Collect(maps.Keys(t.lifted))
}

// Removed records that the stored quarantine of a key was removed.
func (d *Detector) Removed(kind Kind, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tracker(kind).lifted, key)
}

// Stored records that the quarantine of a key was stored.
func (d *Detector) Stored(kind Kind, key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.tracker(kind).blocked[key]; e != nil {
		e.stored = true
	}
}

// StoreAgain marks all keys under quarantine as not stored, as after a restore of the
// store from an older copy.
func (d *Detector) StoreAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range []*tracker{d.parts, d.requests} {
		for _, e := range t.blocked {
			e.stored = false
		}
	}
}
