// Package audit keeps the audit trail. It consists of the changes by operators,
// which the configuration stream holds as signed documents, and of automatic
// changes, which instances write to the audit stream.
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
	maxPendingBytes = 1 << 20 // records buffered during an outage of the log service
)

var lostRecords = expvar.NewInt("audit_records_lost")

// Change is one automatic change.
type Change struct {
	// Action is the kind of change, such as halt or breaker_open.
	Action string
	// Subject identifies the object that was changed.
	Subject string
	// Reason is the cause of the change, for operators.
	Reason string
}

// Trail writes the automatic changes of one instance to the audit stream. It
// is safe for concurrent use.
type Trail struct {
	instance string
	config   *configuration.Store
	writer   *eventlog.Writer
}

// NewTrail returns the trail of one run of an instance. It stays within the append
// budget; a nil budget means no bound.
func NewTrail(log eventlog.Log, config *configuration.Store, budget *eventlog.Budget, instance, incarnation string) *Trail {
	options := eventlog.WriterOptions{Linger: linger, MaxPendingBytes: maxPendingBytes, Budget: budget}
	writer := eventlog.NewWriter(log, platform.StreamAudit, instance, incarnation, options)
	return &Trail{instance: instance, config: config, writer: writer}
}

// Record records an automatic change. It never blocks. If maxPendingBytes is
// exceeded during an outage of the log service, the change is counted as lost and
// written to the instance's own log only.
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
		entry.WithError(err).Error("automatic change is missing from the audit trail")
		return
	}
	entry.Info("automatic change")
}

// Run appends recorded changes until ctx ends, and then the remaining ones.
func (t *Trail) Run(ctx context.Context) error { return t.writer.Run(ctx) }
