package keeper

// sliceOf returns the part of n slots that belongs to a slice. The remainder rotates from
// upstream to upstream: given the sum of the slots before it as offset, an upstream starts
// where the last one ended, so that no slice gets all the remainders. The parts of all
// slices add up to n.
func sliceOf(n, offset, slice, slices int) int {
	if slices <= 1 {
		return n
	}
	part, remainder := n/slices, n%slices
	if ((slice-offset)%slices+slices)%slices < remainder {
		part++
	}
	return part
}
