package resource

// Action says what happened to a resource.
type Action string

// Actions of a Delta.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
)

// Delta is one resource that differs between two snapshots.
type Delta struct {
	Ref    Ref
	Action Action
	// Before is nil for a created resource, After for a deleted one.
	Before, After Resource
}

// Diff lists what changed from a to b, by kind, then name.
func Diff(a, b *Snapshot) []Delta {
	var deltas []Delta
	for _, k := range Kinds() {
		deltas = diffKind(deltas, a.OfKind(k), b.OfKind(k))
	}
	return deltas
}

// diffKind merges two lists that are sorted by name.
func diffKind(deltas []Delta, before, after []Resource) []Delta {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].meta().Name < after[0].meta().Name):
			deltas = append(deltas, Delta{Ref: RefOf(before[0]), Action: ActionDelete, Before: before[0]})
			before = before[1:]
		case len(before) == 0 || after[0].meta().Name < before[0].meta().Name:
			deltas = append(deltas, Delta{Ref: RefOf(after[0]), Action: ActionCreate, After: after[0]})
			after = after[1:]
		default:
			if !SameContent(before[0], after[0]) {
				deltas = append(deltas, Delta{RefOf(after[0]), ActionUpdate, before[0], after[0]})
			}
			before, after = before[1:], after[1:]
		}
	}
	return deltas
}
