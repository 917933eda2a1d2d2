package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
)

// Profile describes the traces to generate for one user: the size of the
// system, the request rate a second and the objectives of a replay.
type Profile struct {
	Name          string
	Entries       int
	Domains       int
	Servers       int
	Accounts      int
	Seconds       int
	PerSecond     float64
	LatencyWeight float64
	TotalMillis   int
	Objectives    Objectives
}

// Profiles are the present sizes of the users' systems, and a short trace of
// the size that the system is designed for.
var Profiles = []Profile{
	{Name: "kavango", Entries: 9, Domains: 3, Servers: 10, Accounts: 10, Seconds: 900, PerSecond: 4, LatencyWeight: 0.1, TotalMillis: 30000, Objectives: Objectives{CostOfStrongest: 0.7, InTime: 0.99}},
	{Name: "consorzio", Entries: 9, Domains: 4, Servers: 20, Accounts: 10, Seconds: 900, PerSecond: 10, LatencyWeight: 0.5, TotalMillis: 8000, Objectives: Objectives{CostOfStrongest: 0.7, InTime: 0.99}},
	{Name: "design", Entries: 410, Domains: 5, Servers: 600, Accounts: 20, Seconds: 12, PerSecond: 1000, LatencyWeight: 0.3, TotalMillis: 8000, Objectives: Objectives{CostOfStrongest: 0.8, InTime: 0.99}},
}

// ProfileOf returns the profile with the given name, or nil if there is none.
func ProfileOf(name string) *Profile {
	at := slices.IndexFunc(Profiles, func(p Profile) bool { return p.Name == name })
	if at < 0 {
		return nil
	}
	return &Profiles[at]
}

const (
	oldVersion     = "small-1"
	newVersion     = "small-2"
	strongVersion  = "large-1"
	target         = 0.8
	slotsPerServer = 3
	// badFromFraction is the fraction of the trace after which the answers of
	// the new version are bad.
	badFromFraction = 1.0 / 3
)

// kindTraits describes one kind of request: the acceptance rate of the cheap
// model's answers, and the share of the requests that are of this kind.
type kindTraits struct {
	name       string
	acceptance float64
	share      float64
}

var kinds = []kindTraits{
	{"certificate", 0.95, 0.45},
	{"summary", 0.75, 0.35},
	{"check", 0.05, 0.20},
}

// Generate returns a trace for a profile; the same seed gives the same trace.
// The new version of the rollout degrades after a third of the trace. One
// failure domain fails at half of the trace and returns cold at three quarters.
// The operators take it out in the document only after it has failed.
func Generate(p *Profile, seed uint64) (*Trace, error) {
	random := rand.New(rand.NewPCG(seed, uint64(p.Entries)))
	trace := &Trace{Header: Header{Name: p.Name, Entries: p.Entries, RatingMillis: 60, ReportMillis: 1000, Objectives: p.Objectives}}
	for d := range p.Domains {
		trace.Header.Domains = append(trace.Header.Domains, fmt.Sprint("domain-", d))
	}
	for s := range p.Servers {
		serves := []string{oldVersion, newVersion}
		if s%2 == 1 {
			serves = []string{strongVersion}
		}
		trace.Header.Servers = append(trace.Header.Servers, Server{
			ID: fmt.Sprintf("engine-%03d", s), FailureDomain: trace.Header.Domains[s/2%p.Domains], Serves: serves, Slots: slotsPerServer,
		})
	}
	doc := p.document(trace.Header.Domains)
	text, err := document.Encode(doc)
	if err != nil {
		return nil, merry.Prepend(err, "write document")
	}
	trace.Header.Document = string(text)
	doc.FailureDomains[0].Out = true
	out, err := document.Encode(doc)
	if err != nil {
		return nil, merry.Prepend(err, "write document")
	}
	total := int64(p.Seconds) * 1000
	trace.Header.BadFromMillis = int64(badFromFraction * float64(total))
	for at, n := 0.0, 0; at < float64(total); n++ {
		trace.Events = append(trace.Events, Event{AtMillis: int64(at), Request: p.request(random, n, at/float64(total))})
		at += random.ExpFloat64() * 1000 / p.PerSecond
	}
	first := trace.Header.Domains[0]
	trace.Events = append(trace.Events,
		Event{AtMillis: total / 2, Fault: &Fault{Domain: first, Down: true}},
		Event{AtMillis: total/2 + 1000, Document: string(out)},
		Event{AtMillis: total * 3 / 4, Fault: &Fault{Domain: first}},
		Event{AtMillis: total * 3 / 4, Document: string(text)},
	)
	slices.SortStableFunc(trace.Events, func(a, b Event) int { return int(a.AtMillis - b.AtMillis) })
	return trace, nil
}

// request draws the request with number n; progress is its position in the
// trace, from 0 to 1.
func (p *Profile) request(random *rand.Rand, n int, progress float64) *Request {
	draw, k := random.Float64(), 0
	for draw > kinds[k].share && k < len(kinds)-1 {
		draw -= kinds[k].share
		k++
	}
	bad := kinds[k].acceptance
	if progress > badFromFraction {
		bad /= 4
	}
	hard := random.Float64()
	request := &Request{
		ID: fmt.Sprintf("%s-%d", p.Name, n), Account: fmt.Sprint("account-", random.IntN(p.Accounts)), Kind: kinds[k].name, Model: "draft",
		Tokens: 400 + random.Int64N(1200),
		Answers: []Answer{
			{oldVersion, rating(random, hard < kinds[k].acceptance), 300 + random.Int64N(400)},
			{newVersion, rating(random, hard < bad), 300 + random.Int64N(400)},
			{strongVersion, rating(random, hard < 0.97), 900 + random.Int64N(1200)},
		},
	}
	if random.IntN(4) == 0 {
		request.Session = fmt.Sprint("session-", random.IntN(60))
	}
	return request
}

func rating(random *rand.Rand, good bool) float64 {
	if good {
		return target + 0.2*random.Float64()
	}
	return target * random.Float64()
}

func (p *Profile) document(domains []string) *document.Document {
	doc := &document.Document{
		Schema: document.SchemaVersion,
		Models: []document.Model{
			{Name: "small", Versions: []document.Version{
				{ID: oldVersion, MicrosPerThousandTokens: 200, Quality: 0.75},
				{ID: newVersion, MicrosPerThousandTokens: 180, Quality: 0.75},
			}},
			{Name: "large", Versions: []document.Version{{ID: strongVersion, MicrosPerThousandTokens: 1000, Quality: 0.95}}},
		},
		Cascades:   []document.Cascade{{Name: "draft", Steps: []string{"small", "large"}, QualityTarget: target, WhenWithdrawn: document.FallbackReassign}},
		Rollouts:   []document.Rollout{{ID: "small-2-rollout", Model: "small", From: oldVersion, To: newVersion, SharePercent: 20, Stage: document.RolloutActive}},
		ColdLimits: []document.ColdLimit{{Target: "small", MaxInFlight: 2, WarmAfterRequests: 20}, {Target: "large", MaxInFlight: 2, WarmAfterRequests: 20}},
	}
	for _, kind := range kinds {
		doc.Kinds = append(doc.Kinds, document.Kind{Name: kind.name, FirstTokenMillis: p.TotalMillis, TotalMillis: p.TotalMillis, LatencyWeight: p.LatencyWeight})
	}
	for a := range p.Accounts {
		doc.ClientAccounts = append(doc.ClientAccounts, document.ClientAccount{
			Name: fmt.Sprint("account-", a), AllowedVersions: []string{oldVersion, newVersion, strongVersion}, DefaultKind: kinds[0].name, MaxInFlight: 1000,
		})
	}
	for _, name := range domains {
		doc.FailureDomains = append(doc.FailureDomains, document.FailureDomain{Name: name})
	}
	return doc
}
