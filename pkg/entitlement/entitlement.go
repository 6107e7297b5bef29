package entitlement

// Part returns the part of an organisation's requests that it is due: due over asked, both in tokens
// a second. An organisation that asks for no more than it is due is due all of them.
func Part(asked, due float64) float64 {
	if !(asked > due) { // also where one of them isn't a number
		return 1
	}
	return max(0, due/asked)
}

// Entitled reports whether a request belongs to what its organisation is due. random is in [0, 1)
// and drawn anew for each request, so that a request that was refused may belong to it when it
// returns.
func Entitled(asked, due, random float64) bool { return random < Part(asked, due) }
