package warmup

const (
	// maxAssignees bounds the routers that an upstream is assigned to. With fewer of them, an
	// upstream might get no requests because callers happen to use other routers.
	maxAssignees = 8
	// reservedShares is the number of assignees' shares that stay unused, for routers that wrongly
	// consider themselves assignees.
	reservedShares = 2
	// partitionedShare is the fraction of an equal share of the limit that a partitioned router
	// uses. The rest is for the assignees of the routers that see each other.
	partitionedShare = 0.6
)

// allocation is the division of a limit on requests per second.
type allocation struct {
	limit int
	// assignees is the number of routers that an upstream is assigned to, assigneeLimit the limit
	// of each of them, partitionedLimit the limit of a partitioned router.
	assignees, assigneeLimit, partitionedLimit int
}

// splitLimit divides a limit of requests per second among the assignees in a fleet of known
// routers, lost ones included. All routers of a fleet arrive at the same division, however many of
// the others they see.
func splitLimit(limit, known int) allocation {
	if known == 1 {
		return allocation{limit: limit, assignees: 1, assigneeLimit: limit}
	}
	assignees := bestAssigneeCount(limit)
	return allocation{limit: limit, assignees: assignees, assigneeLimit: assigneeShare(limit, assignees), partitionedLimit: int(partitionedShare * float64(limit) / float64(assignees))}
}

// assigneeShare returns the share of each assignee in a limit of n.
func assigneeShare(n, assignees int) int { return max(min(1, n), n/(assignees+reservedShares)) }

// bestAssigneeCount returns the number of assignees that together use most of a limit.
func bestAssigneeCount(limit int) int {
	best := 1
	for assignees := 2; assignees <= min(maxAssignees, limit-reservedShares); assignees++ {
		if assignees*assigneeShare(limit, assignees) >= best*assigneeShare(limit, best) {
			best = assignees
		}
	}
	return best
}

// limitBeside returns the limit of an assignee while the given number of partitioned routers may
// send as well.
//
// Partitioned routers hear neither of an evacuation nor of its end, and treat the upstreams of the
// zone as warm.
func (p allocation) limitBeside(isolated int) int {
	return min(p.assigneeLimit, (p.limit-isolated*p.partitionedLimit)/p.assignees)
}
