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
	// takeOverDelay is the time without a message of an owner after which the
	// holder of its copies appends them.
	takeOverDelay = 30 * time.Second
	// takeOverInterval is the time between two checks for silent owners.
	takeOverInterval = 5 * time.Second
	// MaxHeldBytes is the maximum size of the copies held for other instances, unless Limit sets a lower one.
	MaxHeldBytes = 32 << 20
)

var (
	heldBytes      = expvar.NewInt("billing_held_bytes")
	takenOverBills = expvar.NewInt("billing_taken_over")
)

// ErrHolderFull is the kind of error where a holder has reached its limit.
var ErrHolderFull = merry.Sentinel("this instance holds no further copies of bills; copy them to another")

// CopyHolder holds copies of the bills of other instances, and appends them if
// their owner has been silent for too long. It is safe for concurrent use.
type CopyHolder struct {
	log eventlog.Log
	now func() time.Time
	// maxBytes is the maximum size of the copies.
	maxBytes int

	mu     sync.Mutex
	owners map[writerID]*heldBills
	bytes  int
}

type writerID struct{ instance, incarnation string }

type heldBills struct {
	lastContact time.Time
	// silenceLogged is true once the silence of the owner has been logged.
	silenceLogged bool
	bills         map[uint64]json.RawMessage
}

// NewCopyHolder returns a holder without copies that appends to the given log.
func NewCopyHolder(log eventlog.Log) *CopyHolder {
	return &CopyHolder{log: log, now: time.Now, maxBytes: MaxHeldBytes, owners: map[writerID]*heldBills{}}
}

// Limit sets the maximum size of the copies, if it is lower than MaxHeldBytes; 0 leaves that. It must be called before
// the first message.
func (h *CopyHolder) Limit(bytes int64) {
	if bytes > 0 {
		h.maxBytes = int(min(bytes, MaxHeldBytes))
	}
}

// Hold processes a message of an owner: it stores the copies, and drops those that
// the log has by now. The error is of the kind ErrHolderFull.
func (h *CopyHolder) Hold(message *records.BillCopy) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := writerID{message.Writer.Instance, message.Writer.Incarnation}
	owner := h.owners[id]
	if owner == nil {
		owner = &heldBills{bills: map[uint64]json.RawMessage{}}
		h.owners[id] = owner
	}
	owner.lastContact, owner.silenceLogged = h.now(), false
	h.dropLocked(owner, message.Appended)
	if err := h.storeLocked(owner, message.Bills); err != nil {
		return err
	}
	if len(owner.bills) == 0 {
		delete(h.owners, id)
	}
	return nil
}

func (h *CopyHolder) storeLocked(owner *heldBills, bills []records.Bill) error {
	for i := range bills {
		raw, err := json.Marshal(&bills[i])
		if err != nil {
			return err
		}
		if h.bytes+len(raw) > h.maxBytes {
			return ErrHolderFull
		}
		sequence := bills[i].Writer.Sequence
		h.bytes += len(raw) - len(owner.bills[sequence])
		owner.bills[sequence] = raw
	}
	heldBytes.Set(int64(h.bytes))
	return nil
}

func (h *CopyHolder) dropLocked(owner *heldBills, through uint64) {
	if through == 0 {
		return // the message only adds bills
	}
	for sequence, raw := range owner.bills {
		if sequence <= through {
			h.bytes -= len(raw)
			delete(owner.bills, sequence)
		}
	}
	heldBytes.Set(int64(h.bytes))
}

// Run appends the bills of silent owners until ctx ends. Then it appends all
// copies that it holds, since an owner may have failed a moment ago.
func (h *CopyHolder) Run(ctx context.Context) error {
	pause.Every(ctx, takeOverInterval, func() { h.TakeOver(ctx, takeOverDelay) })
	last, cancel := context.WithTimeout(context.Background(), takeOverInterval)
	defer cancel()
	h.TakeOver(last, 0)
	return nil
}

// TakeOver appends the bills of owners that have been silent for at least the
// given time. An owner that was only paused appends them too; readers deduplicate
// bills.
func (h *CopyHolder) TakeOver(ctx context.Context, silence time.Duration) {
	for id, bills := range h.billsOfSilentOwners(silence) {
		for batch := range slices.Chunk(bills, maxBillsPerAppend) {
			if err := h.appendBatch(ctx, id, batch); err != nil {
				return // the next call retries
			}
		}
	}
}

// billsOfSilentOwners returns the copies of each owner that has been silent for
// at least the given time.
func (h *CopyHolder) billsOfSilentOwners(silence time.Duration) map[writerID][]pendingBill {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := map[writerID][]pendingBill{}
	for id, owner := range h.owners {
		if h.now().Sub(owner.lastContact) < silence {
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

// appendBatch appends copies of one owner and drops them afterwards.
func (h *CopyHolder) appendBatch(ctx context.Context, id writerID, batch []pendingBill) error {
	raws := make([]json.RawMessage, len(batch))
	for i := range batch {
		raws[i] = batch[i].raw
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	billAppends.Add(1)
	if _, err := h.log.Append(limited, platform.StreamBilling, raws); err != nil {
		return err
	}
	takenOverBills.Add(int64(len(batch)))
	h.mu.Lock()
	defer h.mu.Unlock()
	owner := h.owners[id]
	if owner == nil {
		return nil
	}
	for _, bill := range batch {
		h.bytes -= len(owner.bills[bill.sequence])
		delete(owner.bills, bill.sequence)
	}
	if len(owner.bills) == 0 {
		delete(h.owners, id)
	}
	heldBytes.Set(int64(h.bytes))
	return nil
}
