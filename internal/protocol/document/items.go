package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Section identifies one list of the document by its YAML key.
type Section string

// Sections of the document in display order. Versions are nested in models but
// form a section of their own.
const (
	SectionModels   Section = "models"
	SectionVersions Section = "versions"
	SectionCascades Section = "cascades"
	SectionKinds    Section = "kinds"
	SectionRollouts Section = "rollouts"
	SectionAccounts Section = "client_accounts"
	SectionServices Section = "plain_services"
	SectionDomains  Section = "failure_domains"
	SectionCold     Section = "cold_limits"
)

// Sections returns all sections in display order.
func Sections() []Section {
	return []Section{
		SectionModels, SectionVersions, SectionCascades, SectionKinds, SectionRollouts,
		SectionAccounts, SectionServices, SectionDomains, SectionCold,
	}
}

// Singular returns the readable name of one item of the section.
func (s Section) Singular() string {
	switch s {
	case SectionModels:
		return "model"
	case SectionVersions:
		return "version"
	case SectionCascades:
		return "cascade"
	case SectionKinds:
		return "kind of request"
	case SectionRollouts:
		return "roll-out"
	case SectionAccounts:
		return "client account"
	case SectionServices:
		return "plain service"
	case SectionDomains:
		return "failure domain"
	case SectionCold:
		return "cold limit"
	}
	return string(s)
}

// Property is one described field of an item.
type Property struct {
	// Key is the YAML key of the field.
	Key string
	// Label is the readable name of the field.
	Label string
	// Value is the readable value with its unit.
	Value string
}

// Item is one described item of a section.
type Item struct {
	Section    Section
	Name       string
	Properties []Property
}

// Title returns the readable name of the item, such as "client account
// technicians".
func (i Item) Title() string { return i.Section.Singular() + " " + i.Name }

// Items describes all items of one section in document order.
func Items(doc *Document, section Section) []Item {
	switch section {
	case SectionModels:
		return describeAll(doc.Models, modelItem)
	case SectionVersions:
		return versionItems(doc)
	case SectionCascades:
		return describeAll(doc.Cascades, cascadeItem)
	case SectionKinds:
		return describeAll(doc.Kinds, kindItem)
	case SectionRollouts:
		return describeAll(doc.Rollouts, rolloutItem)
	case SectionAccounts:
		return describeAll(doc.ClientAccounts, accountItem)
	case SectionServices:
		return describeAll(doc.PlainServices, serviceItem)
	case SectionDomains:
		return describeAll(doc.FailureDomains, domainItem)
	case SectionCold:
		return describeAll(doc.ColdLimits, coldItem)
	}
	return nil
}

func describeAll[T any](values []T, describe func(T) Item) []Item {
	items := make([]Item, 0, len(values))
	for _, value := range values {
		items = append(items, describe(value))
	}
	return items
}

func modelItem(m Model) Item {
	ids := make([]string, 0, len(m.Versions))
	for _, version := range m.Versions {
		ids = append(ids, version.ID)
	}
	return Item{SectionModels, m.Name, []Property{{"versions", "versions in order of use", joinList(ids)}}}
}

func versionItems(doc *Document) []Item {
	var items []Item
	for _, model := range doc.Models {
		for _, version := range model.Versions {
			items = append(items, versionItem(model.Name, version))
		}
	}
	return items
}

func versionItem(model string, v Version) Item {
	return Item{SectionVersions, v.ID, []Property{
		{"model", "model", model},
		{"withdrawn", "state", choose(v.Withdrawn, "withdrawn", "in service")},
		{"micros_per_thousand_tokens", "price", fmt.Sprintf("%d millionths of the billing currency per thousand tokens", v.MicrosPerThousandTokens)},
		{"quality", "expected quality", formatFraction(v.Quality)},
	}}
}

func cascadeItem(c Cascade) Item {
	return Item{SectionCascades, c.Name, []Property{
		{"steps", "steps, first tried first", strings.Join(c.Steps, ", then ")},
		{"quality_target", "quality target", formatFraction(c.QualityTarget)},
		{"when_withdrawn", "a session whose version is withdrawn", fallbackLabel(c.WhenWithdrawn)},
	}}
}

func fallbackLabel(f SessionFallback) string {
	switch f {
	case FallbackRefuse:
		return "is refused"
	case FallbackReassign:
		return "gets the version in force"
	}
	return string(f)
}

func kindItem(k Kind) Item {
	return Item{SectionKinds, k.Name, []Property{
		{"first_token_ms", "longest wait for the first token", formatMillis(k.FirstTokenMillis)},
		{"total_ms", "longest time of the whole answer", formatMillis(k.TotalMillis)},
		{"priority", "priority, lower goes first", strconv.Itoa(k.Priority)},
		{"latency_weight", "weight of latency against cost", formatFraction(k.LatencyWeight)},
	}}
}

func rolloutItem(r Rollout) Item {
	return Item{SectionRollouts, r.ID, []Property{
		{"model", "model", r.Model},
		{"from", "old version", r.From},
		{"to", "new version", r.To},
		{"share_percent", "share of the new version", strconv.Itoa(r.SharePercent) + " %"},
		{"stage", "stage", stageLabel(r.Stage)},
	}}
}

func stageLabel(stage RolloutStage) string {
	if stage == RolloutDone {
		return "finished"
	}
	return string(stage)
}

func accountItem(a ClientAccount) Item {
	return Item{SectionAccounts, a.Name, []Property{
		{"key_hashes", "hashes of its API keys", joinList(a.KeyHashes)},
		{"allowed_versions", "allowed versions", joinList(a.AllowedVersions)},
		{"allowed_services", "allowed plain services", joinList(a.AllowedServices)},
		{"default_kind", "default kind of request", a.DefaultKind},
		{"max_in_flight", "limit of requests in progress", strconv.Itoa(a.MaxInFlight)},
	}}
}

func serviceItem(s PlainService) Item {
	calls := make([]string, 0, len(s.NonIdempotent))
	for _, call := range s.NonIdempotent {
		calls = append(calls, call.String())
	}
	return Item{SectionServices, s.Name, []Property{
		{"timeout_ms", "longest time of one call", formatMillis(s.TimeoutMillis)},
		{"non_idempotent", "calls that run at most once", joinList(calls)},
		{"status_path", "path that tells whether a call took effect", orNone(s.StatusPath)},
	}}
}

// String returns the pattern as method and path prefix.
func (c CallPattern) String() string { return c.Method + " " + c.PathPrefix }

func domainItem(d FailureDomain) Item {
	return Item{SectionDomains, d.Name, []Property{
		{"out", "state", choose(d.Out, "taken out", "in service")},
	}}
}

func coldItem(c ColdLimit) Item {
	return Item{SectionCold, c.Target, []Property{
		{"max_in_flight", "requests in progress that a cold backend server bears", strconv.Itoa(c.MaxInFlight)},
		{"warm_after_requests", "good answers until it counts as warm", strconv.Itoa(c.WarmAfterRequests)},
	}}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func formatFraction(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatMillis(n int) string {
	return fmt.Sprintf("%d ms (%s)", n, time.Duration(n)*time.Millisecond)
}

func joinList(values []string) string { return orNone(strings.Join(values, listSeparator)) }

// listProperties holds the keys of fields that contain an unordered list.
var listProperties = map[string]bool{
	"key_hashes": true, "allowed_versions": true, "allowed_services": true, "non_idempotent": true,
}

const (
	listSeparator = ", "     // list entries contain no comma followed by a space
	noEntry       = "(none)" // not a valid name or path
)

// splitList returns the entries of a described list.
func splitList(value string) []string {
	if value == noEntry {
		return nil
	}
	return strings.Split(value, listSeparator)
}

func orNone(s string) string {
	if s == "" {
		return noEntry
	}
	return s
}
