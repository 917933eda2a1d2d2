package instance

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/transport/peer"
)

// Methods of the peer protocol.
const (
	methodAppendClaims = "claims.append"
	methodHoldBills    = "bills.hold"
)

// addBookings adds the parts that run non-idempotent calls and write bills.
func (a *assembly) addBookings() {
	s := a.settings
	owners := claims.NewOwnerAppender(a.log, s.Instance, a.members, claimForwarder{a.peerClient})
	a.bookings = claims.New(a.log, owners, owners.Owns, s.Instance, a.incarnation)
	a.bookings.LimitKeys(s.Limits.KeyBytes())
	a.bookings.LimitAnswers(s.Limits.AnswerBytes(), s.Limits.LogPageBytes())
	a.peerServer.Handle(methodAppendClaims, handleAppend(owners))

	mirror := billing.NewMirror(s.Instance, a.incarnation, s.FailureDomain, a.members, billHolders{a.peerClient})
	a.bills = billing.New(a.log, mirror, s.Instance, a.incarnation)
	mirror.SetPending(a.bills.Pending)
	holder := billing.NewCopyHolder(a.log)
	ownBills, copies := s.Limits.BillBytes()
	a.bills.LimitPending(ownBills)
	holder.Limit(copies)
	a.peerServer.Handle(methodHoldBills, handleHold(holder))

	a.servingTasks = append(a.servingTasks, a.bookings.Run, a.bookings.Sweep)
	a.writerTasks = append(a.writerTasks, a.bookings.Finish, a.bills.Run, mirror.Run, holder.Run)
}

// appendParams are the params of methodAppendClaims.
type appendParams struct {
	Records []json.RawMessage `json:"records"`
}

// appendOutcome is the outcome of an append.
type appendOutcome string

const (
	appendDone     appendOutcome = "done"
	appendRejected appendOutcome = "not_appended"
	appendUnknown  appendOutcome = "unknown"
)

type appendResult struct {
	Outcome appendOutcome `json:"outcome"`
	Message string        `json:"message,omitempty"`
}

func handleAppend(owners *claims.OwnerAppender) peer.Handler {
	return func(ctx context.Context, _ string, raw json.RawMessage) (any, error) {
		var params appendParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		err := owners.Accept(ctx, params.Records)
		switch {
		case err == nil:
			return appendResult{Outcome: appendDone}, nil
		case errors.Is(err, eventlog.ErrNotAppended):
			return appendResult{Outcome: appendRejected, Message: err.Error()}, nil
		default:
			return appendResult{Outcome: appendUnknown, Message: err.Error()}, nil
		}
	}
}

// claimForwarder implements claims.Forwarder.
type claimForwarder struct{ client *peer.Client }

// Forward implements claims.Forwarder.
func (f claimForwarder) Forward(ctx context.Context, address string, raws []json.RawMessage) error {
	var result appendResult
	if err := f.client.Call(ctx, address, methodAppendClaims, appendParams{Records: raws}, &result); err != nil {
		return merry.Prepend(claims.ErrForward, err.Error())
	}
	switch result.Outcome {
	case appendDone:
		return nil
	case appendRejected:
		return merry.Prepend(eventlog.ErrNotAppended, result.Message)
	default:
		return merry.Prepend(eventlog.ErrAppendUnknown, result.Message)
	}
}

func handleHold(holder *billing.CopyHolder) peer.Handler {
	return func(_ context.Context, from string, raw json.RawMessage) (any, error) {
		var message records.BillCopy
		if err := json.Unmarshal(raw, &message); err != nil {
			return nil, err
		}
		message.Writer.Instance = from
		return struct{}{}, holder.Hold(&message)
	}
}

// billHolders implements billing.HolderClient.
type billHolders struct{ client *peer.Client }

// Hold implements billing.HolderClient.
func (h billHolders) Hold(ctx context.Context, address string, message *records.BillCopy) error {
	return h.client.Call(ctx, address, methodHoldBills, message, &struct{}{})
}
