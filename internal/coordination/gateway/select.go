package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// Causes for which the gateway excludes a server, besides those of package
// routing.
const (
	droppedStage       = "version_not_in_stage"
	droppedNotFocused  = "not_in_focus_of_canary"
	droppedColdRate    = "cold_rate"
	droppedUnconfirmed = "entry_missing"
	droppedDraining    = "draining"
	droppedBackoff     = "backoff"
	droppedRateLimit   = "rate_limit"
	droppedBrittle     = "brittle"
)

// globalRandom implements rand.Source with the global generator, which is safe for
// concurrent use.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// random returns the generator of the gateway's draws.
func (g *Gateway) random() *rand.Rand {
	if g.Random == nil {
		return rand.New(globalRandom{})
	}
	return rand.New(g.Random)
}

// selection is the server chosen for one attempt.
type selection struct {
	backend  *backends.Backend
	snapshot backends.Snapshot
	// stage holds the versions that the request is assigned to. If none of
	// their servers was available, the chosen server runs another version.
	stage staging.Stage
	// prompt is the prefill estimate at the time of the choice.
	prompt prefill.Estimate
	// permit allows the request if the server states a rate limit.
	permit fleetlimit.Permit
	// times is what the run was expected to take; zero for placement by load.
	times workload.Times
	// chances holds the probabilities that the run was expected to meet its objective and its
	// deadline; zero for placement by load.
	chances workload.Chances
	// outstanding is how long the server is expected to process the prompt.
	outstanding time.Duration
	// cause is the cause for which the server was chosen, as counted.
	cause string
}

// choose chooses a server for the next attempt and begins a call on it. It
// returns nil if none is available. A version other than "" is the only one
// considered. It may wait for a permit.
func (g *Gateway) choose(ctx context.Context, req *request, version string) *selection {
	req.capacity.resumed = version != ""
	stage := staging.Stage{Only: version}
	if version == "" {
		stage = g.stage(req)
	}
	found := g.chooseInStage(ctx, req, stage, version)
	if found != nil {
		found.stage = stage
		g.shortages.end(req.service)
	}
	return found
}

// chooseInStage considers only the versions of the rollout stage. If none of
// their servers is available, it considers every version that is not excluded.
func (g *Gateway) chooseInStage(ctx context.Context, req *request, stage staging.Stage, version string) *selection {
	if found := g.pick(ctx, req, stage, false); found != nil || req.capacity.givenUp {
		return found
	}
	if stage.Trial {
		// A session stays on the new version if no server of the rollout's subset
		// is available.
		if found := g.pick(ctx, req, stage.WithAllServers(), false); found != nil || req.capacity.givenUp || req.capacity.failover {
			return found
		}
		g.Staging.RecordOldVersionUse(req.service, req.session)
		stage = stage.Widened()
	}
	if found := g.pick(ctx, req, stage, true); found != nil || req.capacity.givenUp || req.capacity.failover || version != "" {
		return found
	}
	return g.pick(ctx, req, stage.Widened(), true)
}

// stage returns the rollout stage of a request. All its attempts use the same
// one, unless the rollout has ended in the meantime.
func (g *Gateway) stage(req *request) staging.Stage {
	stage := g.Staging.Stage(req.service, req.session)
	if req.staged != nil && !stage.Final {
		return *req.staged
	}
	req.staged = &stage
	return stage
}

const (
	// maxPicks bounds how often a choice is repeated because the chosen server
	// reached its concurrency limit in the meantime.
	maxPicks = 3
	// maxPermitRequests is the number of refused permits after which a choice
	// prefers servers without a rate limit, and maxPermitTime the time after which
	// it considers no others.
	maxPermitRequests = 4
	maxPermitTime     = 100 * time.Millisecond
)

func (g *Gateway) pick(ctx context.Context, req *request, stage staging.Stage, unconfirmed bool) *selection {
	list := backends.List(g.Servers.Serving(req.service))
	service := req.index.Service(req.service)
	prompt := g.estimate(req)
	wait := g.newCapacityWait(req, stage, unconfirmed)
	defer wait.leave()
	began, refused := time.Now(), 0
	for picks := 0; picks < maxPicks && ctx.Err() == nil; {
		now := time.Now()
		late := refused > 0 && now.Sub(began) >= maxPermitTime
		route := g.routingRequest(req, service, prompt, stage, unconfirmed, now)
		chosen, waitLeft := wait.decide(route, list, late || refused >= maxPermitRequests)
		if waitLeft > 0 {
			if req.capacity.failover {
				return nil
			}
			if wait.sleep(ctx, waitLeft); g.tooLateFor(req) {
				return nil
			}
			began = began.Add(time.Since(now))
			continue
		}
		if chosen == nil || (late && g.Limits.Limited(chosen.Server.Server.ID)) {
			return nil
		}
		backend := list[chosen.Index]
		if !backend.Begin(chosen.Bound) {
			picks++
			continue
		}
		// The call counts at the server now, so that the next waiting request sees it.
		wait.leave()
		if !g.takeBrittle(req.service, backend) {
			backend.Cancel()
			picks++
			continue
		}
		permit, ok := g.Limits.Acquire(ctx, chosen.Server.Server.ID)
		if !ok {
			// The server is not admitted again before a permit may be requested.
			backend.Cancel()
			refused++
			continue
		}
		if g.isCold(&chosen.Server, service, now) && !g.coldAllows(&chosen.Server, service, now, true) {
			backend.Cancel()
			picks++
			continue
		}
		wait.admitted()
		outstanding := prompt.Time
		if chosen.Warm {
			outstanding -= route.PrefixPrefill
		}
		return &selection{
			outstanding: outstanding,
			backend:     backend, snapshot: chosen.Server, prompt: prompt, permit: permit,
			times: chosen.Times, chances: req.chances(route, chosen), cause: placementCause(route.Expected != nil, chosen),
		}
	}
	return nil
}

// decide chooses among the servers, with preferUnlimited among those without a rate
// limit first. It returns nil if none is available.
func (g *Gateway) decide(route *routing.Request, list backends.List, preferUnlimited bool) *routing.Candidate {
	if preferUnlimited {
		unlimited := *route
		unlimited.Admit = g.admitUnlimited(route.Admit)
		if chosen := routing.Decide(&unlimited, list, g.random()).Chosen(); chosen != nil {
			return chosen
		}
	}
	return routing.Decide(route, list, g.random()).Chosen()
}

// admitUnlimited restricts admit to servers without a rate limit.
func (g *Gateway) admitUnlimited(admit func(*backends.Snapshot) string) func(*backends.Snapshot) string {
	return func(server *backends.Snapshot) string {
		if g.Limits.Limited(server.Server.ID) {
			return droppedRateLimit
		}
		return admit(server)
	}
}

func (g *Gateway) routingRequest(req *request, service *routes.Service, prompt prefill.Estimate, stage staging.Stage, unconfirmed bool, now time.Time) *routing.Request {
	canaryServers := g.canaryServers(req.service, stage)
	expected := g.expect(req, prompt, now)
	return &routing.Request{
		Target:        req.service,
		FailureDomain: g.FailureDomain,
		Now:           now,
		Remaining:     req.remaining(now),
		Entries:       g.entries(expected != nil),
		Exclude:       req.tried,
		PrefixHash:    req.prefix,
		Prefill:       prompt.Time,
		PrefixPrefill: req.sharedPrefill(prompt.Time),
		LongPrompt:    prompt.Long,
		LongShare:     prompt.LongShare,
		Expected:      expected,
		EligibleOnly:  true,
		DomainOut:     g.DomainOut,
		Admit: func(server *backends.Snapshot) string {
			switch {
			case server.Draining:
				return droppedDraining
			case server.InBackoff(now):
				return droppedBackoff
			case !stage.Admits(server.Server.Version):
				return droppedStage
			case !stage.IncludesServer(server.Position, canaryServers):
				return droppedNotFocused
			case server.Server.Unconfirmed && !unconfirmed:
				return droppedUnconfirmed
			case g.Limits.Wait(server.Server.ID) > 0:
				return droppedRateLimit
			case !g.brittleAllows(req.service, server):
				return droppedBrittle
			case g.isCold(server, service, now) && !g.coldAllows(server, service, now, false):
				return droppedColdRate
			}
			return ""
		},
	}
}

// entries returns the number of instances that share the servers; for placement by cost
// only those that send requests at present.
func (g *Gateway) entries(byCost bool) int {
	if byCost && g.Senders != nil {
		return g.Senders()
	}
	return g.Instances()
}

// canaryServers returns the number of canary servers among which a stage
// focuses on some; 0 where a stage does not.
func (g *Gateway) canaryServers(service string, stage staging.Stage) int {
	if !stage.Trial || stage.Only == "" {
		return 0
	}
	count := 0
	for _, backend := range g.Servers.Serving(service) {
		if server := backend.Snapshot().Server; server.Version == stage.Only && !server.Leaving {
			count++
		}
	}
	return count
}

func (g *Gateway) coldAllows(server *backends.Snapshot, service *routes.Service, now time.Time, take bool) bool {
	if service == nil || service.ColdPerSecond <= 0 {
		return true
	}
	bounds := g.Bounds()
	count := coldShare(service.ColdPerSecond, &bounds.Cold, g.Instances(), g.Rank(server.Server.ID))
	return g.cold.allow(server.Server.ID, now, count, take)
}
