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
	// takeOverDelay is the silence of an owner after which the holder of its
	// copies appends them.
	takeOverDelay    = 30 * time.Second
	takeOverInterval = 5 * time.Second
	// MaxHeldBytes bounds the copies held for other instances.
	MaxHeldBytes = 32 << 20
)

var (
	heldBytes      = expvar.NewInt("billing_held_bytes")
	takenOverBills = expvar.NewInt("billing_taken_over")
)

// ErrHolderFull is the kind of error of a holder without room.
var ErrHolderFull = merry.Sentinel("this instance holds no further copies of bills; copy them to another")

// CopyHolder holds copies of the bills of other instances and appends those of
// owners that went silent. It is safe for concurrent use.
type CopyHolder struct {
	log eventlog.Log
	now func() time.Time

	mu     sync.Mutex
	owners map[writerID]*heldBills
	bytes  int
}

type writerID struct{ instance, incarnation string }

type heldBills struct {
	lastContact time.Time
	// silenceLogged is true once the silence of the owner was logged.
	silenceLogged bool
	bills         map[uint64]json.RawMessage
}

// NewCopyHolder returns a keeper without copies.
func NewCopyHolder(log eventlog.Log) *CopyHolder {
	return &CopyHolder{log: log, now: time.Now, owners: map[writerID]*heldBills{}}
}

// Hold takes a message of an owner. The error is of the kind ErrHolderFull.
func (k *CopyHolder) Hold(message *records.BillCopy) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := writerID{message.Writer.Instance, message.Writer.Incarnation}
	owner := k.owners[id]
	if owner == nil {
		owner = &heldBills{bills: map[uint64]json.RawMessage{}}
		k.owners[id] = owner
	}
	owner.lastContact, owner.silenceLogged = k.now(), false
	k.dropLocked(owner, message.Appended)
	if err := k.storeLocked(owner, message.Bills); err != nil {
		return err
	}
	if len(owner.bills) == 0 {
		delete(k.owners, id)
	}
	return nil
}

func (k *CopyHolder) storeLocked(owner *heldBills, bills []records.Bill) error {
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

func (k *CopyHolder) dropLocked(owner *heldBills, through uint64) {
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
func (k *CopyHolder) Run(ctx context.Context) error {
	pause.Every(ctx, takeOverInterval, func() { k.TakeOver(ctx, takeOverDelay) })
	last, cancel := context.WithTimeout(context.Background(), takeOverInterval)
	defer cancel()
	k.TakeOver(last, 0)
	return nil
}

// TakeOver appends the bills of owners that have been silent for so long. An
// owner that was only paused appends them as well, and readers drop the
// repeats.
func (k *CopyHolder) TakeOver(ctx context.Context, silence time.Duration) {
	for id, held := range k.billsOfSilentOwners(silence) {
		for batch := range slices.Chunk(held, maxBillsPerAppend) {
			if err := k.appendBatch(ctx, id, batch); err != nil {
				return // the next round tries again
			}
		}
	}
}

func (k *CopyHolder) billsOfSilentOwners(silence time.Duration) map[writerID][]pendingBill {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := map[writerID][]pendingBill{}
	for id, owner := range k.owners {
		if k.now().Sub(owner.lastContact) < silence {
			continue
		}
		if !owner.silenceLogged {
			owner.silenceLogged = true
			logrus.WithFields(logrus.Fields{"instance": id.instance, "bills": len(owner.bills)}).Info("appending the bills of another instance")
		}
		for sequence, raw := range owner.bills {
			found[id] = append(found[id], pendingBill{sequence: sequence, raw: raw})
		}
	}
	return found
}

func (k *CopyHolder) appendBatch(ctx context.Context, id writerID, batch []pendingBill) error {
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
	takenOverBills.Add(int64(len(batch)))
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
