package keyedlog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
)

// TestProofFromBeforeRecordsAreCompleteIsNotAdopted guards against an instance that knows of a
// restore of the store, and adopts the proof of one that does not know of it.
func TestProofFromBeforeRecordsAreCompleteIsNotAdopted(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		settled bool
		adopted bool
	}{
		{"before", settleTime - 1, false, false},
		{"lower bound of a proof from after it", settleTime - 1, true, true},
		{"after", settleTime, false, true},
	} {
		for _, appliedFirst := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				store, leader, other, clock := eraPair(t)
				store.restore(1)
				read(t, leader)
				read(t, leader)
				former := other.ProvenAt()
				proof := Proof{leader.Applied(), *clock + boottime.Instant(c.after)}
				adopt := other.AdoptProof
				if c.settled {
					adopt = other.AdoptSettledProof
				}
				if !appliedFirst {
					adopt(proof)
				}
				other.ObservePeer(leader.Applied(), 0, "leader")
				read(t, other)
				must.Eq(t, leader.Applied(), other.Applied())
				if appliedFirst {
					adopt(proof)
				}
				if c.adopted {
					must.Eq(t, proof.At, other.ProvenAt())
				} else {
					must.Eq(t, former, other.ProvenAt())
				}
			})
		}
	}
}

// restoreEvidence lists what a follower that has read only records of era 2 may receive to learn that this
// era began with a restore, half a second before its first read.
var restoreEvidence = map[string]func(f *Follower, readAt boottime.Instant){
	"records of a peer": func(f *Follower, _ boottime.Instant) { f.ObservePeer(Position{1, 3}, 0, "peer") },
	"report of a peer": func(f *Follower, readAt boottime.Instant) {
		f.ObserveRestored(2, readAt-boottime.Instant(500*time.Millisecond))
	},
}

// newEraFollower returns a follower that leads and has read nothing, and a store in era 2.
func newEraFollower() (f *Follower, clock *boottime.Instant) {
	store := &fakeStore{era: 2}
	store.put("k", "1")
	now := boottime.Instant(time.Hour)
	f = newFollower(store, &view{}, fakeRelay{}, true)
	f.opts.Clock = func() boottime.Instant { return now }
	return f, &now
}

// TestStartAfterARestoreProvesNothing guards against an instance that starts after a restore,
// and takes its first read for a proof of the newest records, whether a peer shows it the
// restore before that read or after it.
func TestStartAfterARestoreProvesNothing(t *testing.T) {
	for name, evidence := range restoreEvidence {
		for _, readFirst := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				f, clock := newEraFollower()
				readAt := *clock
				if !readFirst {
					evidence(f, readAt)
				}
				read(t, f)
				if readFirst {
					must.Eq(t, readAt, f.ProvenAt())
					evidence(f, readAt)
				}
				must.Zero(t, f.ProvenAt())
				must.Nil(t, f.OwnProof())
				must.True(t, f.Incomplete())
				era, _, recent := f.Restored()
				must.Eq(t, 2, era)
				must.True(t, recent)
				f.AdoptProof(Proof{f.Applied(), readAt + 1})
				must.Zero(t, f.ProvenAt())
				*clock += boottime.Instant(settleTime)
				read(t, f)
				must.Eq(t, *clock, f.ProvenAt())
				must.Eq(t, *clock, f.OwnProof().At)
				*clock += boottime.Instant(restoreReportTime)
				_, _, recent = f.Restored()
				must.False(t, recent)
			})
		}
	}
}

// TestReportOfAnOldRestoreDelaysNothing guards against an instance that refuses keys for two
// seconds since its peers know of a restore whose records are complete.
func TestReportOfAnOldRestoreDelaysNothing(t *testing.T) {
	f, clock := newEraFollower()
	f.ObserveRestored(2, *clock-boottime.Instant(settleTime))
	read(t, f)
	must.Eq(t, *clock, f.ProvenAt())
	for _, evidence := range restoreEvidence {
		f, clock := newEraFollower()
		readAt := *clock
		read(t, f)
		*clock += boottime.Instant(settleTime)
		read(t, f)
		evidence(f, readAt)
		must.Eq(t, *clock, f.ProvenAt())
		must.NotNil(t, f.OwnProof())
	}
}

// TestPeerWithoutErasDelaysNothing guards against an instance that proves nothing for two seconds
// after each start, since a peer of an earlier build states no era.
func TestPeerWithoutErasDelaysNothing(t *testing.T) {
	for _, readFirst := range []bool{true, false} {
		f, clock := newEraFollower()
		if !readFirst {
			f.ObservePeer(Position{0, 3}, 0, "peer")
		}
		read(t, f)
		f.ObservePeer(Position{0, 3}, 0, "peer")
		must.Eq(t, *clock, f.ProvenAt())
	}
}

// TestOwnReadsCountMoreThanALaterEraOfAPeer guards against an instance that takes the records of a
// restored store for complete, since a peer has stated an era that does not exist.
func TestOwnReadsCountMoreThanALaterEraOfAPeer(t *testing.T) {
	store, leader, _, clock := eraPair(t)
	former := leader.ProvenAt()
	leader.ObserveRestored(1<<40, *clock)
	store.restore(1)
	*clock++
	read(t, leader)
	read(t, leader)
	must.True(t, leader.Incomplete())
	must.Eq(t, former, leader.ProvenAt())
	must.Nil(t, leader.OwnProof())
}
