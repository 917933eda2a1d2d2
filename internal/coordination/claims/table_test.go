package claims

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/xid"
	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/settings"
)

// TestTableHoldsItsKeys guards against a key that is lost or found twice, which would make its call run again: it
// compares the table with a map under random changes. Few texts and several accounts give long runs of slots.
func TestTableHoldsItsKeys(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var held table
	want := map[packedID]int64{}
	for step := range 100_000 {
		text := fmt.Sprint(random.IntN(300))
		id := keyID{account: fmt.Sprint("account-", random.IntN(3)), key: text}.pack()
		// The share of removals changes, so that the table grows and shrinks.
		if random.IntN(4) <= step/10_000%3 {
			held.remove(id)
			delete(want, id)
		} else {
			held.put(packedEntry{packedID: id, position: int64(step + 1), ageAndPhase: uint32(phaseHeld)})
			want[id] = int64(step + 1)
		}
		if got := held.get(id); (got != nil) != (want[id] > 0) || got != nil && got.position != want[id] {
			t.Fatalf("step %d: %v is %v, want %d", step, id, got, want[id])
		}
		must.Eq(t, len(want), held.count)
		if step%1000 == 0 {
			checkTable(t, &held, want)
		}
	}
}

func checkTable(t *testing.T, held *table, want map[packedID]int64) {
	t.Helper()
	accounts := map[string]int{}
	for id, position := range want {
		must.Eq(t, position, held.get(id).position)
		accounts[id.text]++
	}
	seen := 0
	held.each(func(e *packedEntry) {
		must.Eq(t, want[e.packedID], e.position)
		seen++
	})
	must.Eq(t, len(want), seen)
	for text := range 300 {
		must.Eq(t, accounts[fmt.Sprint(text)], held.holders(fmt.Sprint(text)))
	}
}

// TestKeysOfAShardUseAllSlots guards against a hash that is the same, in part or as a whole, for keys that a client can
// choose: those of one shard have the same low bits of xxhash, and the search for one would pass many others.
func TestKeysOfAShardUseAllSlots(t *testing.T) {
	const count = 1500
	var held table
	homes := map[int]bool{}
	for i := 0; held.count < count; i++ {
		if key := fmt.Sprint(i); shardOf(key) == 0 {
			held.put(packedEntry{packedID: keyID{account: "technicians", key: key}.pack()})
		}
	}
	held.each(func(e *packedEntry) { homes[held.home(e.text)] = true })
	// Random homes in 2,048 slots would be 1,060 different ones.
	must.Greater(t, count/2, len(homes))
}

// TestTableReleasesMemory guards against a client that fills one shard after another: the memory that a shard once took
// would stay with it, beyond the bound of all keys, after its keys have been removed.
func TestTableReleasesMemory(t *testing.T) {
	const count, left = 10_000, 100
	c := New(nil, nil, nil, "entry-1", "first")
	s := c.shards[0]
	for i := range count {
		record := records.Claim{Account: "technicians", Key: fmt.Sprint(i), ClaimID: fmt.Sprint(i), Step: records.ClaimStart}
		s.applyRecord(int64(2*i), &record, time.Now())
		record.Step = records.ClaimReleased
		s.applyRecord(int64(2*i+1), &record, time.Now())
	}
	must.Eq(t, left, s.dropFree(2*(count-left)+1))
	must.LessEq(t, 2*left+chunkSize, chunkSize*len(s.keys.chunks))
	must.LessEq(t, 4*left, len(s.keys.slots))
	for i := range count {
		must.Eq(t, i >= count-left, s.keys.get(keyID{account: "technicians", key: fmt.Sprint(i)}.pack()) != nil)
	}
	must.Zero(t, s.dropFree(2*count+1))
	must.Zero(t, c.keys.used.Load())
	must.Zero(t, len(s.keys.chunks))
}

// TestSnapshotIsSmall guards against a snapshot that takes memory in proportion to that of the keys, whether they are in
// all shards or a client has chosen keys that are all in one.
func TestSnapshotIsSmall(t *testing.T) {
	const placeBytes = 16
	for _, shards := range []int{1, ShardCount} {
		t.Run(fmt.Sprint("shards=", shards), func(t *testing.T) {
			c := New(nil, nil, nil, "entry-1", "first")
			all := []int{}
			for i := range MaxKeys {
				s := c.shards[i%shards]
				e := entry{readAt: s.start}
				e.phase, e.offset, e.claimID, e.fingerprint = phaseHeld, int64(MaxKeys-i), xid.New().String(), strings.Repeat("0a", 32)
				s.keys.put(e.pack(keyID{account: "technicians", key: fmt.Sprintf("%047d", i)}.pack(), s.start))
			}
			for i := range shards {
				all = append(all, i)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			found := c.places(all, MaxKeys)
			runtime.ReadMemStats(&after)
			must.Eq(t, MaxKeys-1, len(found))
			must.Less(t, uint64(MaxKeys*(placeBytes+1)), after.TotalAlloc-before.TotalAlloc)
			for i, p := range found {
				must.Eq(t, int64(i+1), p.offset)
			}
			s := c.shards[found[0].shard]
			e, ok := s.entryAt(found[0])
			must.True(t, ok)
			must.Eq(t, fmt.Sprintf("%047d", MaxKeys-1), e.record(s.start, s.start).Key)
			runtime.KeepAlive(c)
		})
	}
}

// TestPackedKeysAreDistinct guards against two keys that are held as one, so that one call would get the answer of the
// other, and against snapshots with another text than that of the key.
func TestPackedKeysAreDistinct(t *testing.T) {
	const uuid = "019aedcf-6b3a-7c3e-9f53-00000000000a"
	texts := []string{
		"", "k", rawMark, strings.Repeat("a", 15), strings.Repeat("a", 16), strings.Repeat("a", 17), rawMark + strings.Repeat("a", 16),
		uuid, strings.ToUpper(uuid), strings.ReplaceAll(uuid, "-", ""), "019aedcf6b3a-7c3e-9f53-0000-0000000a", uuid[:35], packText(uuid), rawMark + uuid,
		rawMark + packText(uuid), strings.Repeat("x", 256),
	}
	packed := map[string]string{}
	for _, text := range texts {
		must.Eq(t, text, unpackText(packText(text)))
		other, found := packed[packText(text)]
		must.False(t, found, must.Sprintf("%q and %q", text, other))
		packed[packText(text)] = text
	}
	must.Eq(t, uuidBytes, len(packText(uuid)))
}

// TestPackedEntriesKeepTheirFields guards against an entry by which the outcome or a repetition of a claim is not recognized.
func TestPackedEntriesKeepTheirFields(t *testing.T) {
	start := time.Now()
	id := keyID{account: "technicians", key: "key"}
	for _, claimID := range []string{"", "claim", xid.New().String(), xid.ID{}.String(), strings.ToUpper(xid.New().String())} {
		for _, fingerprint := range []string{"", "body", strings.Repeat("0a", 32), strings.Repeat("0A", 32), strings.Repeat("00", 31), strings.Repeat("0", 64)} {
			for _, answer := range []*records.KeptAnswer{nil, {Status: 201}} {
				e := entry{readAt: start.Add(3 * time.Second), ageAtRead: time.Hour}
				e.phase, e.claimID, e.fingerprint, e.answer, e.offset = phaseDone, claimID, fingerprint, answer, 7
				p := e.pack(id.pack(), start)
				must.Eq(t, id, p.packedID.unpack())
				must.Eq(t, fmt.Sprint(e), fmt.Sprint(p.unpack(start)))
				must.True(t, e.readAt.Equal(p.unpack(start).readAt))
			}
		}
	}
	free := entry{keyState: keyState{fence: 9}}
	p := free.pack(id.pack(), start)
	must.Eq(t, int64(9), p.unpack(start).fence)
	must.Eq(t, phaseFree, p.unpack(start).phase)
	free.freed, free.released = 4, []string{"claim", xid.New().String()}
	p = free.pack(id.pack(), start)
	must.Eq(t, fmt.Sprint(free), fmt.Sprint(p.unpack(start)))
	must.Greater(t, keyBytes, p.bytes())
}

// TestMemoryOfKeys guards against a machine of 134 MB without room for all keys, and against keys that occupy more than
// their share: it holds the largest number of them, with the longest text for which the settings state that.
func TestMemoryOfKeys(t *testing.T) {
	const longest = 47
	limits := settings.Limits{MemoryMB: 134}
	c := New(nil, nil, nil, "entry-1", "first")
	c.LimitKeys(limits.KeyBytes())
	c.LimitAnswers(1, 0)
	before := heapInUse()
	for i := range MaxKeys {
		key := fmt.Sprintf("%0*d", longest, i)
		claimID := xid.New().String()
		record := records.Claim{Account: "technicians", Key: key, ClaimID: claimID, Fingerprint: strings.Repeat("0a", 32)}
		s := c.shards[shardOf(key)]
		for n, step := range []records.ClaimStep{records.ClaimStart, records.ClaimDone} {
			record.Step = step
			if step == records.ClaimDone {
				record.Answer = &records.KeptAnswer{Status: 201, Body: []byte("body")}
			}
			s.applyRecord(int64(2*i+n), &record, time.Now())
			c.answers.enforce()
		}
	}
	held := heapInUse() - before
	counted := c.keys.used.Load()
	t.Logf("%d bytes per key, counted with %d", held/MaxKeys, counted/MaxKeys)
	must.LessEq(t, limits.KeyBytes(), held)
	must.False(t, c.keys.full())
	runtime.KeepAlive(c)
}

func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
