package placement

// Entitled returns the standing of a request that belongs to what its organisation is due: that of
// an organisation which gets just its share.
func (s Standing) Entitled() Standing {
	s.ShareRatio, s.Ahead = min(1, s.ShareRatio), 0
	return s
}
