package slopes

import "slices"

// Only gives the plan with the named experiments.
func (p Plan) Only(names []string) Plan {
	keep := func(name string) bool { return slices.Contains(names, name) }
	var only Plan
	if keep("peers") {
		only.Peers = p.Peers
	}
	if keep("cells") {
		only.Cells = p.Cells
	}
	if keep("path") {
		only.Path = p.Path
	}
	if keep("members") {
		only.Members = p.Members
	}
	if keep("config") {
		only.Configuration = p.Configuration
	}
	if keep("reads") {
		only.Reads = p.Reads
	}
	return only
}
