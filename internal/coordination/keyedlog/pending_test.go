package keyedlog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
)

// TestProofIsAdoptedOnceItsRecordsAreApplied guards against an instance that has just
// started, and drops the proof in the datagram that shows it which records it lacks: it then
// waits for the next datagram. A proof of records that it does not have proves nothing, and
// neither does one of another era.
func TestProofIsAdoptedOnceItsRecordsAreApplied(t *testing.T) {
	for _, c := range []struct {
		name   string
		proofs []Proof
		want   boottime.Instant
	}{
		{"covered", []Proof{{Position{0, 2}, 7}}, 7},
		{"latest of two", []Proof{{Position{0, 2}, 7}, {Position{0, 1}, 9}}, 9},
		{"later records", []Proof{{Position{0, 3}, 7}}, 0},
		{"one covered beside later records", []Proof{{Position{0, 2}, 7}, {Position{0, 3}, 9}}, 7},
		{"other era", []Proof{{Position{1, 2}, 7}}, 0},
		{"more than are kept", []Proof{{Position{0, 2}, 7}, {Position{0, 3}, 8}, {Position{0, 3}, 9}, {Position{0, 3}, 10}, {Position{0, 3}, 11}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{}
			store.put("kept", "1")
			store.put("kept", "2")
			leader := newFollower(store, &view{}, fakeRelay{}, true)
			must.NoError(t, leader.step(t.Context()))
			must.Eq(t, Position{0, 2}, leader.Applied())
			f := newBootstrapFollower(store, &view{}, fakeRelay{"leader": leader}, time.Minute)
			for _, proof := range c.proofs {
				f.AdoptProof(proof)
			}
			must.Zero(t, f.ProvenAt())
			f.ObservePeer(leader.Applied(), 0, "leader")
			must.NoError(t, f.step(t.Context()))
			must.Eq(t, leader.Applied(), f.Applied())
			must.Eq(t, c.want, f.ProvenAt())
			must.Nil(t, f.OwnProof())
		})
	}
}
