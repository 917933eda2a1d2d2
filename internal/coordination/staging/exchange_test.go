package staging_test

import (
	"time"

	"medlarslip/internal/coordination/staging"
)

// sessionMessage is what a datagram states about sessions.
type sessionMessage = *staging.SessionReport

func exportSessions(c *staging.Controller, leads bool) sessionMessage { return c.Sessions(leads) }

func exportUrgent(c *staging.Controller, leads bool) sessionMessage { return c.UrgentSessions(leads) }

func mergeSessions(c *staging.Controller, m sessionMessage) { c.MergeSessionReport(m) }

func beginRequest(c *staging.Controller, session uint64) { c.BeginRequest(service, session) }

func endRequest(c *staging.Controller, session uint64) { c.EndRequest(service, session) }

// setTimes sets the times as the platform derives them from its settings.
func setTimes(c *staging.Controller, sessionTime time.Duration) {
	c.SetTimes(func() time.Duration { return sessionTime }, func() time.Duration { return 1500 * time.Millisecond })
}

func onUrgentUse(c *staging.Controller, announce func()) { c.OnUrgentUse(announce) }
