package console

import (
	"fmt"
	"math"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
)

// Limits on a form.
const (
	maxFormBytes   = 256 << 10
	maxFormValues  = 4000
	maxReasonRunes = 500
	minKeyBytes    = 16 // shortest API key that may be entered
)

// errBadForm is the kind of error of a form that cannot be read.
var errBadForm = merry.Sentinel("the form could not be read; go back, load the page again and repeat the step")

// inputKind is the kind of the HTML control of a field.
type inputKind string

const (
	inputText    inputKind = "text"
	inputNumber  inputKind = "number"
	inputDecimal inputKind = "decimal"
	inputSelect  inputKind = "select"
	inputChecks  inputKind = "checks"
	inputOrder   inputKind = "order"
	inputLines   inputKind = "lines"
	inputSecret  inputKind = "secret"
	inputFixed   inputKind = "fixed"
)

// option is one choice of a field.
type option struct {
	Value    string
	Label    string
	Selected bool
}

// field is one field of a form.
type field struct {
	Key    string
	Label  string
	Hint   string
	Unit   string
	Kind   inputKind
	Values []string
	// Options are the choices of a select, checks or order field.
	Options []option
	// Slots are the selects of an order field, each with its options.
	Slots  [][]option
	Faults []string
}

// Value returns the first value of the field, or empty if it has none.
func (f field) Value() string {
	if len(f.Values) == 0 {
		return ""
	}
	return f.Values[0]
}

// ID returns the HTML id of the field.
func (f field) ID() string { return "field-" + f.Key }

// Anchor returns the HTML id of the block around the field.
func (f field) Anchor() string { return "block-" + f.Key }

// selectOptions selects the options whose values the field has. It fills the
// slots of an order field.
func (f *field) selectOptions() {
	switch f.Kind {
	case inputOrder:
		f.fillSlots()
	case inputChecks:
		f.selectMatching()
	case inputSelect:
		// The browser would otherwise select the first option, which the
		// operator did not choose.
		if !f.selectMatching() {
			f.Options = append([]option{{Label: "choose one", Selected: true}}, f.Options...)
		}
	}
}

// selectMatching selects the options whose values the field has, and reports
// whether there are any.
func (f *field) selectMatching() bool {
	found := false
	for i := range f.Options {
		f.Options[i].Selected = contains(f.Values, f.Options[i].Value)
		found = found || f.Options[i].Selected
	}
	return found
}

func (f *field) fillSlots() {
	f.Slots = nil
	for slot := range max(len(f.Options), len(f.Values)) {
		choices := []option{{Value: "", Label: "none"}}
		for _, choice := range f.Options {
			choice.Selected = slot < len(f.Values) && f.Values[slot] == choice.Value
			choices = append(choices, choice)
		}
		f.Slots = append(f.Slots, choices)
	}
}

func contains(values []string, value string) bool {
	for _, v := range values {
		if v == value {
			return true
		}
	}
	return false
}

func options(values []string) []option {
	choices := make([]option, 0, len(values))
	for _, value := range values {
		choices = append(choices, option{Value: value, Label: value})
	}
	return choices
}

// decodeForm parses the body of a form. The error is of the kind errBadForm.
func decodeForm(body []byte) (url.Values, error) {
	if len(body) > maxFormBytes {
		return nil, merry.Prependf(errBadForm, "it has %d bytes", len(body))
	}
	form, err := url.ParseQuery(string(body))
	if err != nil {
		return nil, merry.Prepend(errBadForm, err.Error())
	}
	count := 0
	for _, values := range form {
		count += len(values)
	}
	if count > maxFormValues {
		return nil, merry.Prependf(errBadForm, "it has %d values", count)
	}
	return form, nil
}

// formValues parses the values of a form and collects their faults by the key of
// the field.
type formValues struct {
	form   url.Values
	faults map[string][]string
}

func newFormValues(form url.Values) *formValues {
	return &formValues{form: form, faults: map[string][]string{}}
}

func (v *formValues) addFault(key, problem, remedy string) {
	v.faults[key] = append(v.faults[key], problem+"; "+remedy)
}

func (v *formValues) text(key string) string { return strings.TrimSpace(v.form.Get(key)) }

func (v *formValues) integer(key string) int64 {
	text := v.text(key)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n > math.MaxInt32 && key != keyPrice {
		v.addFault(key, fmt.Sprintf("%q is no whole number in range", truncate(text)), "write digits only, such as 250")
		return 0
	}
	return n
}

var decimalPattern = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,9})?$`)

func (v *formValues) decimal(key string) float64 {
	text := v.text(key)
	if !decimalPattern.MatchString(text) {
		v.addFault(key, fmt.Sprintf("%q is no decimal number", truncate(text)), "write it with a point, such as 0.85")
		return 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		v.addFault(key, "is out of range", "write a number from 0 to 1")
	}
	return f
}

// nonEmpty returns the values of a field, trimmed and without empty ones.
func (v *formValues) nonEmpty(key string) []string {
	var found []string
	for _, value := range v.form[key] {
		if value = strings.TrimSpace(value); value != "" {
			found = append(found, value)
		}
	}
	return found
}

// lines returns the lines of a text field, trimmed and without empty ones.
func (v *formValues) lines(key string) []string {
	var found []string
	for line := range strings.Lines(v.form.Get(key)) {
		if line = strings.TrimSpace(line); line != "" {
			found = append(found, line)
		}
	}
	return found
}

// takeSecretHash removes an API key from the form, so that no page shows it
// again, and returns its hash. It returns empty if none was entered or the key
// is too short.
func (v *formValues) takeSecretHash(key string) string {
	secret := v.text(key)
	v.form.Del(key)
	if secret == "" {
		return ""
	}
	if len(secret) < minKeyBytes {
		v.addFault(key, "the key is shorter than "+strconv.Itoa(minKeyBytes)+" characters", "enter a longer, random one")
		return ""
	}
	return document.HashKey(secret)
}

const maxQuotedBytes = 40

// truncate shortens a text that a message quotes to maxQuotedBytes.
func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}

// checkReason returns the fault of the reason of a change, or empty.
func checkReason(reason string) string {
	if reason == "" {
		return "the reason is empty; say why the change is made, since it stands in the audit trail under your name"
	}
	if len([]rune(reason)) > maxReasonRunes {
		return fmt.Sprintf("the reason is longer than %d characters; shorten it", maxReasonRunes)
	}
	if strings.ContainsFunc(reason, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return "the reason holds a line break or an invisible character; write it in one line of plain text"
	}
	return ""
}

// applySubmitted sets the values of the fields to the submitted ones and adds
// their faults. Fixed fields keep their values, and secrets are not shown again.
func applySubmitted(fields []field, v *formValues) {
	for i := range fields {
		f := &fields[i]
		f.Faults = v.faults[f.Key]
		if f.Kind != inputFixed && f.Kind != inputSecret {
			f.Values = v.form[f.Key]
		}
		f.selectOptions()
	}
}

// Ordinal returns the label of a slot of an order field, counted from 0.
func (f field) Ordinal(place int) string { return "Place " + strconv.Itoa(place+1) }
