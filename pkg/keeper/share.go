package keeper

// share returns slice's part of n slots. The remainder goes round from upstream to
// upstream: the one with the given offset (the sum of the remainders before it) starts
// where the last one ended, so that no slice gets all the odd slots. The parts of all
// slices sum up to n.
func share(n, offset, slice, slices int) int {
	if slices <= 1 {
		return n
	}
	part, rest := n/slices, n%slices
	if ((slice-offset)%slices+slices)%slices < rest {
		part++
	}
	return part
}
