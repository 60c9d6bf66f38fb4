package planner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"dalehook/internal/record"
)

// Digest returns the SHA-256 of the plan's JSON without its digest, in hex. Empty
// lists count like absent ones, so that the digest survives JSON and gob.
func Digest(plan record.Plan) string {
	plan.Digest = ""
	plan.Event.Services = orEmpty(plan.Event.Services)
	plan.Event.Rollouts = orEmpty(plan.Event.Rollouts)
	plan.Warm = orEmpty(plan.Warm)
	plan.Loads = orEmpty(plan.Loads)
	plan.Limits = orEmpty(plan.Limits)
	plan.ShedOrder = orEmpty(plan.ShedOrder)
	plan.Arithmetic = orEmpty(plan.Arithmetic)
	plan.Risks = orEmpty(plan.Risks)
	plan.Missing = orEmpty(plan.Missing)
	plan.Overlaps = orEmpty(plan.Overlaps)
	text, err := json.Marshal(plan)
	if err != nil {
		// Only a number that JSON has no form for fails; Check refuses those.
		text = fmt.Appendf(nil, "%+v", plan)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Intact reports whether a plan that came from elsewhere still has the digest
// that it names.
func Intact(plan record.Plan) bool { return plan.Digest == Digest(plan) }

func orEmpty[E any](list []E) []E {
	if list == nil {
		return []E{}
	}
	return list
}

func sortEvents(events []record.Event) {
	slices.SortFunc(events, func(a, b record.Event) int { return cmp.Compare(a.Name, b.Name) })
}
