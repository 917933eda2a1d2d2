// Package audit keeps the trail of changes: what operators changed, which the
// configuration stream holds signed, and what the system changed by itself,
// which instances write to the audit stream.
package audit

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	linger          = time.Second
	maxPendingBytes = 1 << 20 // records kept through an outage of the log service
)

var lostRecords = expvar.NewInt("audit_records_lost")

// Change is one automatic change.
type Change struct {
	// Action names the change, such as halt or breaker_open.
	Action string
	// Subject names what was changed.
	Subject string
	// Reason says why.
	Reason string
}

// Trail writes the automatic changes of one instance to the audit stream. It
// is safe for concurrent use.
type Trail struct {
	instance string
	config   *configuration.Store
	writer   *eventlog.Writer
}

// NewTrail returns the trail of one run of an instance, which keeps within
// its append budget.
func NewTrail(log eventlog.Log, config *configuration.Store, budget *eventlog.Budget, instance, incarnation string) *Trail {
	options := eventlog.WriterOptions{Linger: linger, MaxPendingBytes: maxPendingBytes, Budget: budget}
	writer := eventlog.NewWriter(log, platform.StreamAudit, instance, incarnation, options)
	return &Trail{instance: instance, config: config, writer: writer}
}

// Record writes down an automatic change. It never blocks; where an outage of
// the log service outlasts the memory set aside, the change is counted as lost
// and stands in the instance's own log only.
func (t *Trail) Record(change Change) {
	number := int64(0)
	if current := t.config.Current(); current != nil {
		number = current.Envelope.Number
	}
	err := t.writer.Write(func(writer records.Writer) (json.RawMessage, error) {
		return json.Marshal(records.Audit{
			Writer:   writer,
			Document: number,
			Time:     time.Now().UTC().Format(time.RFC3339),
			Actor:    t.instance,
			Action:   change.Action,
			Subject:  change.Subject,
			Reason:   change.Reason,
		})
	})
	entry := logrus.WithFields(logrus.Fields{"action": change.Action, "subject": change.Subject, "reason": change.Reason})
	if err != nil {
		lostRecords.Add(1)
		entry.WithError(err).Error("automatic change is not on the audit trail")
		return
	}
	entry.Info("automatic change")
}

// Run appends what was recorded until ctx ends, and what is left then.
func (t *Trail) Run(ctx context.Context) error { return t.writer.Run(ctx) }
