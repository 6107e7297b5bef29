package keeper

// occupy adds the slot to an upstream's running count.
func (k *Keeper) occupy(s *slot, u *upstream) {
	s.upstream = u
	u.running++
	if s.alone {
		u.aloneSlots++
	}
}

// vacate removes the slot from its upstream's running count.
func (k *Keeper) vacate(s *slot) {
	u := s.upstream
	u.running--
	if s.alone {
		u.aloneSlots--
	}
	if u.running == 0 && !u.declared {
		delete(k.upstreams, u.name)
	}
}

// addSlot registers a new slot.
func (k *Keeper) addSlot(r *router, s *slot, u *upstream) {
	k.occupy(s, u)
	k.slots[s.claimKey] = s
	r.slots[s.id] = s
	k.orgSlots[s.org]++
}
