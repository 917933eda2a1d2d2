package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Upper bounds of the values in a document, and the length of a key hash.
const (
	maxNameBytes         = 64
	maxPathBytes         = 1024
	maxTimeoutMillis     = 10 * 60 * 1000
	maxInFlightLimit     = 1_000_000
	maxPriority          = 100
	sha256HexBytes       = 64
	maxWarmAfterRequests = 1_000_000
)

// Validate checks all fields and references of a document. It returns nil or a
// FieldErrors that lists all errors, each with its field and a remedy.
func Validate(doc *Document) error {
	v := &validator{doc: doc, index: NewIndex(doc)}
	v.checkSchema()
	v.checkModels()
	v.checkCascades()
	v.checkKinds()
	v.checkRollouts()
	v.checkAccounts()
	v.checkServices()
	v.checkDomains()
	v.checkColdLimits()
	if len(v.errs) > 0 {
		return v.errs
	}
	return nil
}

type validator struct {
	doc   *Document
	index *Index
	errs  FieldErrors
}

func (v *validator) fail(field, problem, remedy string) {
	v.errs = append(v.errs, FieldError{Field: field, Problem: problem, Remedy: remedy})
}

func (v *validator) checkSchema() {
	if v.doc.Schema != SchemaVersion {
		v.fail("schema", fmt.Sprintf("is %d", v.doc.Schema), fmt.Sprintf("set it to %d", SchemaVersion))
	}
}

// nameChecker checks that names are well-formed and unique within one list.
type nameChecker struct {
	v    *validator
	seen map[string]string
}

func (v *validator) newNameChecker() *nameChecker {
	return &nameChecker{v: v, seen: map[string]string{}}
}

func (n *nameChecker) check(field, name string) {
	if problem := nameProblem(name); problem != "" {
		n.v.fail(field, problem, "use 1 to 64 letters, digits, dots, dashes or underscores")
		return
	}
	if first, ok := n.seen[name]; ok {
		n.v.fail(field, fmt.Sprintf("%q is already used by %s", name, first), "give each its own name")
		return
	}
	n.seen[name] = field
}

func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("has %d bytes", len(name))
	}
	for _, r := range name {
		if !isNameRune(r) {
			return fmt.Sprintf("holds the character %q", r)
		}
	}
	return ""
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
}

func (v *validator) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		v.fail(field, fmt.Sprintf("is %d", value), fmt.Sprintf("use a number from %d to %d", low, high))
	}
}

func (v *validator) checkFraction(field string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.fail(field, fmt.Sprintf("is %v", value), "use a number from 0 to 1")
	}
}

func (v *validator) checkModels() {
	modelNames, versionNames := v.newNameChecker(), v.newNameChecker()
	for i, model := range v.doc.Models {
		field := fmt.Sprintf("models[%d]", i)
		modelNames.check(field+".name", model.Name)
		if len(model.Versions) == 0 {
			v.fail(field+".versions", "is empty", "list at least one version")
		}
		for j, version := range model.Versions {
			versionField := fmt.Sprintf("%s.versions[%d]", field, j)
			versionNames.check(versionField+".id", version.ID)
			v.checkFraction(versionField+".quality", version.Quality)
			if version.MicrosPerThousandTokens < 0 {
				v.fail(versionField+".micros_per_thousand_tokens", "is negative", "use 0 or more")
			}
		}
	}
}

func (v *validator) checkCascades() {
	cascadeNames := v.newNameChecker()
	for i, cascade := range v.doc.Cascades {
		field := fmt.Sprintf("cascades[%d]", i)
		cascadeNames.check(field+".name", cascade.Name)
		if v.index.Version(cascade.Name) != nil {
			v.fail(field+".name", fmt.Sprintf("%q is also a version id", cascade.Name), "rename the cascade")
		}
		if len(cascade.Steps) == 0 {
			v.fail(field+".steps", "is empty", "list at least one model")
		}
		stepNames := v.newNameChecker()
		for j, step := range cascade.Steps {
			stepField := fmt.Sprintf("%s.steps[%d]", field, j)
			stepNames.check(stepField, step)
			if v.index.Model(step) == nil {
				v.fail(stepField, fmt.Sprintf("names no model: %q", step), "use the name of a model in models")
			}
		}
		v.checkFraction(field+".quality_target", cascade.QualityTarget)
		if cascade.WhenWithdrawn != FallbackRefuse && cascade.WhenWithdrawn != FallbackReassign {
			v.fail(field+".when_withdrawn", fmt.Sprintf("is %q", cascade.WhenWithdrawn), "use refuse or reassign")
		}
	}
}

func (v *validator) checkKinds() {
	kindNames := v.newNameChecker()
	for i, kind := range v.doc.Kinds {
		field := fmt.Sprintf("kinds[%d]", i)
		kindNames.check(field+".name", kind.Name)
		v.checkRange(field+".total_ms", kind.TotalMillis, 1, maxTimeoutMillis)
		v.checkRange(field+".first_token_ms", kind.FirstTokenMillis, 1, maxTimeoutMillis)
		v.checkRange(field+".priority", kind.Priority, 0, maxPriority)
		v.checkFraction(field+".latency_weight", kind.LatencyWeight)
		if kind.FirstTokenMillis > kind.TotalMillis {
			v.fail(field+".first_token_ms", "is longer than total_ms", "lower it or raise total_ms")
		}
	}
}

func (v *validator) checkRollouts() {
	ids := v.newNameChecker()
	openByModel := map[string]string{}
	for i, rollout := range v.doc.Rollouts {
		field := fmt.Sprintf("rollouts[%d]", i)
		ids.check(field+".id", rollout.ID)
		v.checkRange(field+".share_percent", rollout.SharePercent, 0, 100)
		v.checkRolloutStage(field, rollout)
		v.checkRolloutVersions(field, rollout)
		if rollout.Stage == RolloutDone {
			continue
		}
		if first, ok := openByModel[rollout.Model]; ok {
			v.fail(field+".model", fmt.Sprintf("%q already has the open roll-out %s", rollout.Model, first), "finish that one first")
		}
		openByModel[rollout.Model] = rollout.ID
	}
}

func (v *validator) checkRolloutStage(field string, rollout Rollout) {
	switch rollout.Stage {
	case RolloutActive, RolloutHalted, RolloutDone:
	default:
		v.fail(field+".stage", fmt.Sprintf("is %q", rollout.Stage), "use active, halted or done")
	}
}

func (v *validator) checkRolloutVersions(field string, rollout Rollout) {
	if rollout.From == rollout.To {
		v.fail(field+".to", "is the same version as from", "name the new version")
	}
	v.checkRolloutVersion(field+".from", rollout.From, rollout.Model)
	v.checkRolloutVersion(field+".to", rollout.To, rollout.Model)
}

func (v *validator) checkRolloutVersion(field, versionID, modelName string) {
	model := v.index.ModelOf(versionID)
	if model == nil || model.Name != modelName {
		v.fail(field, fmt.Sprintf("%q is no version of model %q", versionID, modelName), "use the id of one of its versions")
	}
}

func (v *validator) checkAccounts() {
	accountNames := v.newNameChecker()
	keyOwners := map[string]string{}
	for i, account := range v.doc.ClientAccounts {
		field := fmt.Sprintf("client_accounts[%d]", i)
		accountNames.check(field+".name", account.Name)
		v.checkRange(field+".max_in_flight", account.MaxInFlight, 1, maxInFlightLimit)
		if v.index.Kind(account.DefaultKind) == nil {
			v.fail(field+".default_kind", fmt.Sprintf("names no kind: %q", account.DefaultKind), "use the name of a kind in kinds")
		}
		for j, id := range account.AllowedVersions {
			if v.index.Version(id) == nil {
				v.fail(fmt.Sprintf("%s.allowed_versions[%d]", field, j), fmt.Sprintf("names no version: %q", id), "use the id of a version in models")
			}
		}
		for j, name := range account.AllowedServices {
			if v.index.Service(name) == nil {
				v.fail(fmt.Sprintf("%s.allowed_services[%d]", field, j), fmt.Sprintf("names no service: %q", name), "use the name of a service in plain_services")
			}
		}
		for j, hash := range account.KeyHashes {
			v.checkKeyHash(fmt.Sprintf("%s.key_hashes[%d]", field, j), hash, account.Name, keyOwners)
		}
	}
}

func (v *validator) checkKeyHash(field, hash, account string, owners map[string]string) {
	if !IsKeyHash(hash) {
		v.fail(field, "is no hex SHA-256 hash in lower case", "make one with medlarslip-config hash-key")
		return
	}
	if owner, ok := owners[hash]; ok {
		v.fail(field, fmt.Sprintf("is already a key of %s", owner), "give each client account keys of its own")
		return
	}
	owners[hash] = account
}

// IsKeyHash reports whether s is a SHA-256 hash in lower-case hex.
func IsKeyHash(s string) bool {
	_, err := hex.DecodeString(s)
	return err == nil && len(s) == sha256HexBytes && s == strings.ToLower(s)
}

// HashKey returns the hash of an API key as used in key_hashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (v *validator) checkServices() {
	serviceNames := v.newNameChecker()
	for i, service := range v.doc.PlainServices {
		field := fmt.Sprintf("plain_services[%d]", i)
		serviceNames.check(field+".name", service.Name)
		v.checkRange(field+".timeout_ms", service.TimeoutMillis, 1, maxTimeoutMillis)
		if v.index.Model(service.Name) != nil {
			v.fail(field+".name", fmt.Sprintf("%q is also a model", service.Name), "rename the service")
		}
		if service.StatusPath != "" && (!isPath(service.StatusPath) || !strings.Contains(service.StatusPath, "{key}")) {
			v.fail(field+".status_path", fmt.Sprintf("is %q", service.StatusPath), "start it with /, use printable ASCII characters without spaces, and put {key} where the idempotency key goes")
		}
		for j, call := range service.NonIdempotent {
			callField := fmt.Sprintf("%s.non_idempotent[%d]", field, j)
			if !isMethod(call.Method) {
				v.fail(callField+".method", fmt.Sprintf("is %q", call.Method), "use an HTTP method in capitals")
			}
			if !isPath(call.PathPrefix) {
				v.fail(callField+".path_prefix", fmt.Sprintf("is %q", call.PathPrefix), "start it with / and use printable ASCII characters without spaces")
			}
		}
	}
}

// isMethod reports whether s is an HTTP method in capitals.
func isMethod(s string) bool {
	notLetter := func(r rune) bool { return r < 'A' || r > 'Z' }
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, notLetter)
}

// isPath reports whether s is a path of printable ASCII characters, so that it
// contains nothing that an operator can't see before signing.
func isPath(s string) bool {
	notVisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return strings.HasPrefix(s, "/") && len(s) <= maxPathBytes && !strings.ContainsFunc(s, notVisible)
}

func (v *validator) checkDomains() {
	domainNames := v.newNameChecker()
	allOut := len(v.doc.FailureDomains) > 0
	for i, domain := range v.doc.FailureDomains {
		domainNames.check(fmt.Sprintf("failure_domains[%d].name", i), domain.Name)
		allOut = allOut && domain.Out
	}
	if allOut {
		v.fail("failure_domains", "all are out", "leave at least one in service")
	}
}

func (v *validator) checkColdLimits() {
	targets := v.newNameChecker()
	for i, limit := range v.doc.ColdLimits {
		field := fmt.Sprintf("cold_limits[%d]", i)
		targets.check(field+".target", limit.Target)
		if v.index.Model(limit.Target) == nil && v.index.Service(limit.Target) == nil {
			v.fail(field+".target", fmt.Sprintf("names no model or service: %q", limit.Target), "use a name in models or plain_services")
		}
		v.checkRange(field+".max_in_flight", limit.MaxInFlight, 1, maxInFlightLimit)
		v.checkRange(field+".warm_after_requests", limit.WarmAfterRequests, 1, maxWarmAfterRequests)
	}
}
