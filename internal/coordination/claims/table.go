package claims

import "hash/maphash"

const (
	// chunkSize is the number of entries that are allocated at once. With the allocator's header of 8 bytes they
	// fill a size class of 8 KiB.
	chunkSize = 85
	// firstSlots is the size of the index of a new table. It doubles when three quarters are taken.
	firstSlots = 16
)

// tableSeed makes the slots of keys unpredictable, so that clients can't choose keys that have the same one. shardOf has
// no seed, since all instances have to agree on it; its hash of the keys of a shard is also the same in its low bits.
var tableSeed = maphash.MakeSeed()

// table holds the entries of a shard. In place of a map, whose slots would take half as much again, an index of
// 4 bytes per slot refers to entries in chunks. It uses open addressing with linear probing, by the hash of the key
// alone, so that the entries of a key of several accounts are in one run of slots.
type table struct {
	// slots holds the number of an entry plus one, or 0.
	slots  []uint32
	chunks [][]packedEntry
	// unused are the numbers of entries in the chunks that hold no key.
	unused []uint32
	count  int
}

func (t *table) at(number uint32) *packedEntry { return &t.chunks[number/chunkSize][number%chunkSize] }

func (t *table) home(text string) int {
	return int(maphash.String(tableSeed, text) & uint64(len(t.slots)-1))
}

func (t *table) next(slot int) int { return (slot + 1) & (len(t.slots) - 1) }

// find returns the slot of a key; ok is false if the table doesn't hold it.
func (t *table) find(id packedID) (slot int, ok bool) {
	if len(t.slots) == 0 {
		return 0, false
	}
	for slot = t.home(id.text); t.slots[slot] != 0; slot = t.next(slot) {
		if t.at(t.slots[slot]-1).packedID == id {
			return slot, true
		}
	}
	return slot, false
}

// get returns the entry of a key, or nil.
func (t *table) get(id packedID) *packedEntry {
	if slot, ok := t.find(id); ok {
		return t.at(t.slots[slot] - 1)
	}
	return nil
}

// put adds the entry of a key, or replaces it.
func (t *table) put(e packedEntry) {
	if old := t.get(e.packedID); old != nil {
		*old = e
		return
	}
	if 4*(t.count+1) > 3*len(t.slots) {
		t.grow()
	}
	slot, _ := t.find(e.packedID)
	number := t.allocate()
	*t.at(number) = e
	t.slots[slot] = number + 1
	t.count++
}

// allocate returns the number of an entry that holds no key.
func (t *table) allocate() uint32 {
	if len(t.unused) == 0 {
		first := len(t.chunks) * chunkSize
		t.chunks = append(t.chunks, make([]packedEntry, chunkSize))
		for n := chunkSize - 1; n >= 0; n-- {
			t.unused = append(t.unused, uint32(first+n))
		}
	}
	number := t.unused[len(t.unused)-1]
	t.unused = t.unused[:len(t.unused)-1]
	return number
}

// grow doubles the index.
func (t *table) grow() {
	old := t.slots
	t.slots = make([]uint32, max(firstSlots, 2*len(old)))
	for _, number := range old {
		if number != 0 {
			slot := t.home(t.at(number - 1).text)
			for t.slots[slot] != 0 {
				slot = t.next(slot)
			}
			t.slots[slot] = number
		}
	}
}

// remove removes a key. The following slots of its run move up, since a lookup ends at an empty slot.
func (t *table) remove(id packedID) {
	hole, ok := t.find(id)
	if !ok {
		return
	}
	number := t.slots[hole] - 1
	*t.at(number) = packedEntry{}
	t.unused = append(t.unused, number)
	t.count--
	t.slots[hole] = 0
	for slot := t.next(hole); t.slots[slot] != 0; slot = t.next(slot) {
		home := t.home(t.at(t.slots[slot] - 1).text)
		mask := len(t.slots) - 1
		if (slot-home)&mask >= (slot-hole)&mask {
			t.slots[hole], t.slots[slot] = t.slots[slot], 0
			hole = slot
		}
	}
}

// compact moves the entries to a table of their size if they take less than half of the chunks, since removals leave
// the memory of a chunk allocated.
func (t *table) compact() {
	needed := (t.count + chunkSize - 1) / chunkSize
	if 2*needed >= len(t.chunks) {
		return
	}
	var fresh table
	t.each(func(e *packedEntry) { fresh.put(*e) })
	*t = fresh
}

// each calls f for every entry. f must not change the table.
func (t *table) each(f func(e *packedEntry)) {
	for _, number := range t.slots {
		if number != 0 {
			f(t.at(number - 1))
		}
	}
}

// holders returns the number of accounts that hold a key.
func (t *table) holders(text string) int {
	if len(t.slots) == 0 {
		return 0
	}
	count := 0
	for slot := t.home(text); t.slots[slot] != 0; slot = t.next(slot) {
		if e := t.at(t.slots[slot] - 1); e.text == text && e.phase() != phaseFree {
			count++
		}
	}
	return count
}
