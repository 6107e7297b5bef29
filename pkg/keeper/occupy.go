package keeper

// occupy counts the slot on an upstream.
func (k *Keeper) occupy(s *slot, u *upstream) {
	s.upstream = u
	u.running++
	if s.alone {
		u.alone++
	}
}

// vacate takes the slot off its upstream.
func (k *Keeper) vacate(s *slot) {
	u := s.upstream
	u.running--
	if s.alone {
		u.alone--
	}
	if u.running == 0 && !u.declared {
		delete(k.upstreams, u.name)
	}
}

// hold enters a new slot.
func (k *Keeper) hold(r *router, s *slot, u *upstream) {
	k.occupy(s, u)
	k.slots[s.key] = s
	r.slots[s.id] = s
	k.orgSlots[s.org]++
}
