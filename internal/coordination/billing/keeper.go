package billing

import (
	"context"
	"encoding/json"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	// takeOverAfter is the silence of an owner after which the holder of its
	// copies appends them.
	takeOverAfter = 30 * time.Second
	keepInterval  = 5 * time.Second
	// MaxHeldBytes bounds the copies held for other instances.
	MaxHeldBytes = 32 << 20
)

var (
	heldBytes  = expvar.NewInt("billing_held_bytes")
	takenBills = expvar.NewInt("billing_taken_over")
)

// ErrHolderFull is the kind of error of a holder without room.
var ErrHolderFull = merry.Sentinel("this instance holds no further copies of bills; copy them to another")

// Keeper holds copies of the bills of other instances and appends those of
// owners that went silent. It is safe for concurrent use.
type Keeper struct {
	log eventlog.Log
	now func() time.Time

	mu     sync.Mutex
	owners map[ownerID]*heldBills
	bytes  int
}

type ownerID struct{ instance, incarnation string }

type heldBills struct {
	heard time.Time
	// silent is true once the silence of the owner was logged.
	silent bool
	bills  map[uint64]json.RawMessage
}

// NewKeeper returns a keeper without copies.
func NewKeeper(log eventlog.Log) *Keeper {
	return &Keeper{log: log, now: time.Now, owners: map[ownerID]*heldBills{}}
}

// Hold takes a message of an owner. The error is of the kind ErrHolderFull.
func (k *Keeper) Hold(message *records.BillCopy) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := ownerID{message.Writer.Instance, message.Writer.Incarnation}
	owner := k.owners[id]
	if owner == nil {
		owner = &heldBills{bills: map[uint64]json.RawMessage{}}
		k.owners[id] = owner
	}
	owner.heard, owner.silent = k.now(), false
	k.dropLocked(owner, message.Appended)
	if err := k.takeLocked(owner, message.Bills); err != nil {
		return err
	}
	if len(owner.bills) == 0 {
		delete(k.owners, id)
	}
	return nil
}

func (k *Keeper) takeLocked(owner *heldBills, bills []records.Bill) error {
	for i := range bills {
		raw, err := json.Marshal(&bills[i])
		if err != nil {
			return err
		}
		if k.bytes+len(raw) > MaxHeldBytes {
			return ErrHolderFull
		}
		sequence := bills[i].Writer.Sequence
		k.bytes += len(raw) - len(owner.bills[sequence])
		owner.bills[sequence] = raw
	}
	heldBytes.Set(int64(k.bytes))
	return nil
}

func (k *Keeper) dropLocked(owner *heldBills, through uint64) {
	if through == 0 {
		return // the message only brings further bills
	}
	for sequence, raw := range owner.bills {
		if sequence <= through {
			k.bytes -= len(raw)
			delete(owner.bills, sequence)
		}
	}
	heldBytes.Set(int64(k.bytes))
}

// Run appends the bills of silent owners until ctx ends, and then all that it
// holds, for an owner may have been lost a moment ago.
func (k *Keeper) Run(ctx context.Context) error {
	pause.Every(ctx, keepInterval, func() { k.TakeOver(ctx, takeOverAfter) })
	last, cancel := context.WithTimeout(context.Background(), keepInterval)
	defer cancel()
	k.TakeOver(last, 0)
	return nil
}

// TakeOver appends the bills of owners that have been silent for so long. An
// owner that was only paused appends them as well, and readers drop the
// repeats.
func (k *Keeper) TakeOver(ctx context.Context, silence time.Duration) {
	for id, held := range k.silent(silence) {
		for batch := range slices.Chunk(held, maxBatch) {
			if err := k.appendBatch(ctx, id, batch); err != nil {
				return // the next round tries again
			}
		}
	}
}

func (k *Keeper) silent(silence time.Duration) map[ownerID][]pendingBill {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := map[ownerID][]pendingBill{}
	for id, owner := range k.owners {
		if k.now().Sub(owner.heard) < silence {
			continue
		}
		if !owner.silent {
			owner.silent = true
			logrus.WithFields(logrus.Fields{"instance": id.instance, "bills": len(owner.bills)}).Info("appending the bills of another instance")
		}
		for sequence, raw := range owner.bills {
			found[id] = append(found[id], pendingBill{sequence: sequence, raw: raw})
		}
	}
	return found
}

func (k *Keeper) appendBatch(ctx context.Context, id ownerID, batch []pendingBill) error {
	raws := make([]json.RawMessage, len(batch))
	for i := range batch {
		raws[i] = batch[i].raw
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	billAppends.Add(1)
	if _, err := k.log.Append(limited, platform.StreamBilling, raws); err != nil {
		return err
	}
	takenBills.Add(int64(len(batch)))
	k.mu.Lock()
	defer k.mu.Unlock()
	owner := k.owners[id]
	if owner == nil {
		return nil
	}
	for _, bill := range batch {
		k.bytes -= len(owner.bills[bill.sequence])
		delete(owner.bills, bill.sequence)
	}
	if len(owner.bills) == 0 {
		delete(k.owners, id)
	}
	heldBytes.Set(int64(k.bytes))
	return nil
}
