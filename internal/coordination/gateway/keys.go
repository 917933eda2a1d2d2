package gateway

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/protocol/routes"
)

// setKeys derives the routing keys of the request: its session, its prompt
// prefix, its service, and its keys for the quarantine.
func (r *request) setKeys() {
	r.session = sessionHash(&r.call)
	r.prefix = prefixHash(&r.call)
	r.service = chooseTarget(r.route, r.session)
	r.keys.ID = r.call.ID
	r.keys.Key = quarantine.RequestOf(r.accountName(), r.http.Method, r.http.Host, rawTarget(r.http), r.body.list...)
	for _, id := range r.call.sharedParts() {
		r.keys.Parts = append(r.keys.Parts, quarantine.PartOf(r.service, id))
	}
	r.plan = newCascadePlan(r.route, r.index.Service(r.service), &r.call)
}

// sessionHash returns the same hash for all requests of a session. A request
// without a session counts as a session of its own.
func sessionHash(call *Call) uint64 {
	if call.Session != "" {
		return xxhash.Sum64String(call.Session)
	}
	return xxhash.Sum64String(call.ID)
}

// prefixHash identifies the prompt prefix that other requests may share: all
// parts but the last. It is 0 if there is none.
func prefixHash(call *Call) uint64 {
	if len(call.Prompt) < 2 {
		return 0
	}
	return xxhash.Sum64String(call.Prompt[len(call.Prompt)-2].ID)
}

// chooseTarget chooses a service of the route by weight, the same one for all
// requests of a session.
func chooseTarget(route *routes.Route, session uint64) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return route.Targets[rand.IntN(len(route.Targets))].Service
	}
	at := int(session % uint64(total))
	for _, target := range route.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
