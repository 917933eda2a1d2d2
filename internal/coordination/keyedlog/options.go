package keyedlog

import (
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

// Options configures a Follower. Functions and interfaces must not be nil unless
// noted otherwise.
type Options struct {
	Store Store
	Topic string
	// Leads reports whether this instance reads the topic from the store. The others
	// fetch the records from peers that are ahead.
	Leads func() bool
	// Standby reports whether this instance is on standby for another leader. It then
	// reads at a slower pace, only to detect the failure of that leader. Nil means
	// never.
	Standby func() bool
	// Probes reports whether this instance is a prober: during an outage it calls the
	// store frequently, to detect the end of the outage for all.
	Probes func() bool
	// PeerWait returns how much longer the bootstrap waits for a snapshot of a peer
	// before it reads the store; nil means that it does not wait. After the wait, a peer
	// that is known to be ahead is asked once.
	PeerWait func() time.Duration
	// ProvesLate reports whether the first read after a bootstrap from a peer may wait for a
	// change like any other, although it proves the records only at its end; nil means
	// that it may not.
	ProvesLate func() bool
	// Wait is how long a read from the store waits for a change.
	Wait time.Duration
	// MinReadInterval is the minimum time between the start of a read that returned
	// records and the next read, so that changes are batched.
	MinReadInterval time.Duration
	Reader          Reader
	// Revisions returns the revisions of the reader's state; nil if it has none.
	Revisions func() Revisions
	// Relay fetches records from peers.
	Relay Relay
	// Changed is called when records were read from the store, or when contact with
	// it was lost or regained.
	Changed func()
	// Regained is called when the store answers again after an outage; it may be nil.
	Regained func()
	// Restored is called when the store was found to be restored from an older copy, which
	// began an era; it may be nil.
	Restored func(era int64)
	// Clock is the clock of proofs; nil means boottime.Now.
	Clock func() boottime.Instant
	Log   *logrus.Entry
}
