package gateway

import (
	"net/http"

	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/state/backends"
)

// recordBrittle records whether the server is brittle, and whether it had no room.
func (a *attempt) recordBrittle() {
	if !a.reply.Brittle && !a.gateway.Brittle.Active() {
		return
	}
	if a.reply.Status == http.StatusMisdirectedRequest || a.reply.RequestID != a.req.call.ID {
		return
	}
	g, snapshot := a.gateway, a.choice.backend.Snapshot()
	server := brittleServer(a.req.service, &snapshot)
	g.Brittle.Observe(&server, a.reply.Brittle, a.reply.TurnAwayLimit, a.reply.Load)
	if a.verdict == notRun {
		g.Brittle.TurnedAway(&server, max(snapshot.InFlight-1, 0))
	}
}

func brittleServer(service string, server *backends.Snapshot) brittle.Server {
	slots := server.Server.Slots
	if slots == 0 {
		slots = server.Load.Slots
	}
	return brittle.Server{Service: service, ID: server.Server.ID, Slots: slots}
}

// BrittleServers returns the servers of a service as the gate of brittle servers knows them.
func BrittleServers(table *backends.Table, service string) []brittle.Server {
	var servers []brittle.Server
	for _, backend := range table.Serving(service) {
		snapshot := backend.Snapshot()
		servers = append(servers, brittleServer(service, &snapshot))
	}
	return servers
}

func (g *Gateway) brittleAllows(service string, server *backends.Snapshot) bool {
	candidate := brittleServer(service, server)
	return g.Brittle.Allows(&candidate, server.InFlight)
}

// takeBrittle reports whether a call that has begun may be sent to its server.
func (g *Gateway) takeBrittle(service string, backend *backends.Backend) bool {
	if !g.Brittle.Active() {
		return true
	}
	snapshot := backend.Snapshot()
	server := brittleServer(service, &snapshot)
	return g.Brittle.Take(&server, snapshot.InFlight)
}
