package console

import (
	"fmt"
	"strings"

	"medlarslip/internal/protocol/document"
)

func accountSection() *section {
	return listSection[document.ClientAccount]{
		items:     func(doc *document.Document) *[]document.ClientAccount { return &doc.ClientAccounts },
		name:      func(a *document.ClientAccount) *string { return &a.Name },
		nameField: nameField,
		fields:    accountFields,
		read:      readAccount,
		defaults:  document.ClientAccount{MaxInFlight: 100},
	}.section(document.SectionAccounts, "Client accounts", "A client account is one caller. Its requests run only on the versions and plain services that are ticked here.")
}

func accountFields(doc *document.Document, a *document.ClientAccount, _ bool) []field {
	return []field{
		{Key: "allowed_versions", Label: "Allowed versions", Kind: inputChecks, Options: versionOptions(doc), Values: a.AllowedVersions},
		{Key: "allowed_services", Label: "Allowed plain services", Kind: inputChecks, Options: options(itemNames(doc, document.SectionServices)), Values: a.AllowedServices},
		{Key: "default_kind", Label: "Kind of a request that names none", Kind: inputSelect, Options: options(itemNames(doc, document.SectionKinds)), Values: []string{a.DefaultKind}},
		{Key: "max_in_flight", Label: "Limit of requests in progress", Unit: "requests, over the whole fleet", Kind: inputNumber, Values: formatInteger(int64(a.MaxInFlight))},
		{
			Key: "key_hashes", Label: "API keys in use", Hint: "Only the SHA-256 hash of a key is kept. Untick a key to refuse the callers who use it.",
			Kind: inputChecks, Options: options(a.KeyHashes), Values: a.KeyHashes,
		},
		{Key: "add_hashes", Label: "Add keys by their hash", Hint: "One SHA-256 hash a line, as medlarslip-config hash-key prints it.", Kind: inputLines},
		{Key: "new_key", Label: "Or enter a new key", Hint: "At least 16 characters. It is hashed at once and not kept: note it down before you save.", Kind: inputSecret},
	}
}

func readAccount(_ *document.Document, a *document.ClientAccount, v *formValues, _ bool) {
	a.AllowedVersions = v.nonEmpty("allowed_versions")
	a.AllowedServices = v.nonEmpty("allowed_services")
	a.DefaultKind = v.text("default_kind")
	a.MaxInFlight = int(v.integer("max_in_flight"))
	if hash := v.takeSecretHash("new_key"); hash != "" {
		// If another field has a fault, the form is shown again with the hash
		// in place of the key.
		v.form.Set("add_hashes", strings.Join(append(v.lines("add_hashes"), hash), "\n"))
	}
	for _, hash := range v.lines("add_hashes") {
		if !document.IsKeyHash(hash) {
			v.addFault("add_hashes", fmt.Sprintf("%q is no hex SHA-256 hash in lower case", truncate(hash)), "make one with medlarslip-config hash-key, or enter the key below")
		}
	}
	a.KeyHashes = append(v.nonEmpty("key_hashes"), v.lines("add_hashes")...)
}

func serviceSection() *section {
	return listSection[document.PlainService]{
		items:     func(doc *document.Document) *[]document.PlainService { return &doc.PlainServices },
		name:      func(s *document.PlainService) *string { return &s.Name },
		nameField: nameField,
		fields:    serviceFields,
		read:      readService,
	}.section(document.SectionServices, "Plain services", "A plain service is reached by method, path and body. A call that may not be repeated, such as a booking, must be listed here: it then runs at most once.")
}

func serviceFields(_ *document.Document, s *document.PlainService, _ bool) []field {
	calls := make([]string, 0, len(s.NonIdempotent))
	for _, call := range s.NonIdempotent {
		calls = append(calls, call.String())
	}
	return []field{
		{Key: "timeout_ms", Label: "Longest time of one call", Unit: "milliseconds", Kind: inputNumber, Values: formatInteger(int64(s.TimeoutMillis))},
		{
			Key: "non_idempotent", Label: "Calls that may not be repeated", Hint: "One a line: method and the start of the path, such as POST /bookings. Other calls may be repeated after a failure.",
			Kind: inputLines, Values: joinLines(calls),
		},
		{
			Key: "status_path", Label: "Path that tells whether a call took effect", Hint: "With {key} where the idempotency key goes, such as /bookings/{key}. Leave it empty where there is none.",
			Kind: inputText, Values: []string{s.StatusPath},
		},
	}
}

func readService(_ *document.Document, s *document.PlainService, v *formValues, _ bool) {
	s.TimeoutMillis = int(v.integer("timeout_ms"))
	s.StatusPath = v.text("status_path")
	s.NonIdempotent = nil
	for _, line := range v.lines("non_idempotent") {
		method, path, ok := strings.Cut(line, " ")
		if !ok {
			v.addFault("non_idempotent", fmt.Sprintf("%q is no method and path", truncate(line)), "write it like POST /bookings")
			continue
		}
		s.NonIdempotent = append(s.NonIdempotent, document.CallPattern{Method: method, PathPrefix: strings.TrimSpace(path)})
	}
}

func domainSection() *section {
	return listSection[document.FailureDomain]{
		items:     func(doc *document.Document) *[]document.FailureDomain { return &doc.FailureDomains },
		name:      func(d *document.FailureDomain) *string { return &d.Name },
		nameField: nameField,
		fields:    domainFields,
		read:      readDomain,
	}.section(document.SectionDomains, "Failure domains", "A failure domain that is taken out receives no new work within a few seconds after the change is in force. Requests that run there are not cut.")
}

func domainFields(_ *document.Document, d *document.FailureDomain, _ bool) []field {
	return []field{{
		Key: "out", Label: "State", Kind: inputSelect, Values: []string{yesNo(d.Out)},
		Options: []option{{Value: valueNo, Label: "in service"}, {Value: valueYes, Label: "taken out: receives no new work"}},
	}}
}

func readDomain(_ *document.Document, d *document.FailureDomain, v *formValues, _ bool) {
	d.Out = v.yesOrNo("out")
}
