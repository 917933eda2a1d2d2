package console

import (
	"medlarslip/internal/protocol/document"
)

func cascadeSection() *section {
	return listSection[document.Cascade]{
		items:     func(doc *document.Document) *[]document.Cascade { return &doc.Cascades },
		name:      func(c *document.Cascade) *string { return &c.Name },
		nameField: nameField,
		fields:    cascadeFields,
		read:      readCascade,
		defaults:  document.Cascade{WhenWithdrawn: document.FallbackReassign},
	}.section(document.SectionCascades, "Cascades and quality targets", "A cascade is the model name that callers ask for. Its models are tried in order; the next one is asked where an answer falls short of the quality target.")
}

func cascadeFields(doc *document.Document, c *document.Cascade, _ bool) []field {
	return []field{
		{
			Key: "steps", Label: "Steps", Hint: "The model that is tried first comes first, the cheapest as a rule. Leave the rest at none.",
			Kind: inputOrder, Options: options(itemNames(doc, document.SectionModels)), Values: c.Steps,
		},
		{
			Key: "quality_target", Label: "Quality target", Unit: "0 to 1", Hint: "The lowest rating of an answer that may be given.",
			Kind: inputDecimal, Values: formatDecimal(c.QualityTarget),
		},
		{
			Key: "when_withdrawn", Label: "A session whose version is withdrawn", Kind: inputSelect, Values: []string{string(c.WhenWithdrawn)},
			Options: []option{
				{Value: string(document.FallbackReassign), Label: "gets the version in force"},
				{Value: string(document.FallbackRefuse), Label: "is refused"},
			},
		},
	}
}

func readCascade(_ *document.Document, c *document.Cascade, v *formValues, _ bool) {
	c.Steps = v.nonEmpty("steps")
	c.QualityTarget = v.decimal("quality_target")
	c.WhenWithdrawn = document.SessionFallback(v.text("when_withdrawn"))
}

func kindSection() *section {
	return listSection[document.Kind]{
		items:     func(doc *document.Document) *[]document.Kind { return &doc.Kinds },
		name:      func(k *document.Kind) *string { return &k.Name },
		nameField: nameField,
		fields:    kindFields,
		read:      readKind,
	}.section(document.SectionKinds, "Kinds of request and times", "A kind says how long a request may take and how its cost is weighed against its latency.")
}

func kindFields(_ *document.Document, k *document.Kind, _ bool) []field {
	return []field{
		{Key: "first_token_ms", Label: "Longest wait for the first token", Unit: "milliseconds", Kind: inputNumber, Values: formatInteger(int64(k.FirstTokenMillis))},
		{Key: "total_ms", Label: "Longest time of the whole answer", Unit: "milliseconds", Kind: inputNumber, Values: formatInteger(int64(k.TotalMillis))},
		{Key: "priority", Label: "Priority", Unit: "0 to 100, lower goes first", Kind: inputNumber, Values: formatInteger(int64(k.Priority))},
		{Key: "latency_weight", Label: "Weight of latency", Unit: "0 (only cost counts) to 1 (only latency counts)", Kind: inputDecimal, Values: formatDecimal(k.LatencyWeight)},
	}
}

func readKind(_ *document.Document, k *document.Kind, v *formValues, _ bool) {
	k.FirstTokenMillis = int(v.integer("first_token_ms"))
	k.TotalMillis = int(v.integer("total_ms"))
	k.Priority = int(v.integer("priority"))
	k.LatencyWeight = v.decimal("latency_weight")
}

func rolloutSection() *section {
	return listSection[document.Rollout]{
		items:     func(doc *document.Document) *[]document.Rollout { return &doc.Rollouts },
		name:      func(r *document.Rollout) *string { return &r.ID },
		nameField: idField,
		fields:    rolloutFields,
		read:      readRollout,
		defaults:  document.Rollout{SharePercent: 5, Stage: document.RolloutActive},
	}.section(document.SectionRollouts, "Roll-outs", "A roll-out moves new work of one model from an old version to a new one in stages. Start one here; change its share, halt it or finish it by editing it.")
}

func rolloutFields(doc *document.Document, r *document.Rollout, isNew bool) []field {
	from := field{Key: "from", Label: "Old version", Kind: inputSelect, Options: versionOptions(doc), Values: []string{r.From}}
	to := field{Key: "to", Label: "New version", Kind: inputSelect, Options: versionOptions(doc), Values: []string{r.To}}
	if !isNew {
		from = field{Key: "from", Label: "Old version", Kind: inputFixed, Values: []string{r.From}}
		to = field{Key: "to", Label: "New version", Kind: inputFixed, Values: []string{r.To}}
	}
	return []field{
		from, to,
		{
			Key: "share_percent", Label: "Share of the new version", Unit: "percent of new work, 0 to 100",
			Kind: inputNumber, Values: formatInteger(int64(r.SharePercent)),
		},
		{
			Key: "stage", Label: "Stage", Kind: inputSelect, Values: []string{string(r.Stage)},
			Options: []option{
				{Value: string(document.RolloutActive), Label: "active: the share of new work goes to the new version"},
				{Value: string(document.RolloutHalted), Label: "halted: all new work goes to the old version"},
				{Value: string(document.RolloutDone), Label: "finished: all new work goes to the new version"},
			},
		},
	}
}

// versionOptions returns an option for every version, labelled with its model.
func versionOptions(doc *document.Document) []option {
	var choices []option
	for _, model := range doc.Models {
		for _, version := range model.Versions {
			label := version.ID + " (model " + model.Name
			if version.Withdrawn {
				label += ", withdrawn"
			}
			choices = append(choices, option{Value: version.ID, Label: label + ")"})
		}
	}
	return choices
}

func readRollout(doc *document.Document, r *document.Rollout, v *formValues, isNew bool) {
	if isNew {
		r.From, r.To = v.text("from"), v.text("to")
		if model, _ := findVersion(doc, r.From); model != nil {
			r.Model = model.Name
		}
	}
	r.SharePercent = int(v.integer("share_percent"))
	r.Stage = document.RolloutStage(v.text("stage"))
}

func coldSection() *section {
	return listSection[document.ColdLimit]{
		items:     func(doc *document.Document) *[]document.ColdLimit { return &doc.ColdLimits },
		name:      func(c *document.ColdLimit) *string { return &c.Target },
		nameField: coldTarget,
		fields:    coldFields,
		read:      readCold,
		defaults:  document.ColdLimit{MaxInFlight: 1, WarmAfterRequests: 20},
	}.section(document.SectionCold, "Cold limits", "A cold limit bounds what a backend server receives from the whole fleet just after its start.")
}

func coldTarget(doc *document.Document) field {
	targets := append(itemNames(doc, document.SectionModels), itemNames(doc, document.SectionServices)...)
	return field{Key: "target", Label: "Model or plain service", Kind: inputSelect, Options: options(targets)}
}

func coldFields(_ *document.Document, c *document.ColdLimit, _ bool) []field {
	return []field{
		{Key: "max_in_flight", Label: "Requests in progress that a cold backend server bears", Unit: "requests, from the whole fleet", Kind: inputNumber, Values: formatInteger(int64(c.MaxInFlight))},
		{Key: "warm_after_requests", Label: "Good answers until it counts as warm", Unit: "answers", Kind: inputNumber, Values: formatInteger(int64(c.WarmAfterRequests))},
	}
}

func readCold(_ *document.Document, c *document.ColdLimit, v *formValues, _ bool) {
	c.MaxInFlight = int(v.integer("max_in_flight"))
	c.WarmAfterRequests = int(v.integer("warm_after_requests"))
}
