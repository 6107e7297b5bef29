package affinity

import (
	"cmp"
	"slices"
	"time"
)

// takeRegister takes over what the store's register says.
func (h *history) takeRegister(reg *Register, rd Reading, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteEra(rd.Era, now)
	st := &h.register
	if rd.Era < st.era {
		return
	}
	h.forgetRegister()
	st.unread, st.readAt = false, rd.Sent
	if reg == nil || reg.Era != rd.Era {
		return
	}
	for _, one := range reg.Versions {
		last := rd.latest(one.LastMs)
		if last.After(now) {
			last = now
		}
		v := h.get(one.Service, one.Version, now)
		if last.After(v.lastListed) {
			v.lastListed = last
		}
		v.heldUntil = rd.earliest(one.LastMs + registerHold.Milliseconds())
	}
	if reg.proves(rd) {
		st.asOf = rd.earliest(reg.AsOfMs)
		h.watchByRegister(reg, rd, now)
	}
	h.openSole(now)
}

// watchByRegister makes the register cover the time before this router's watch began. Streams may have begun at
// each version in it until it was read.
func (h *history) watchByRegister(reg *Register, rd Reading, now time.Time) {
	if h.watchedLong(now) || h.watchedSince.IsZero() || h.watchedSince.Sub(rd.Sent) >= openAfter {
		return
	}
	for _, one := range reg.Versions {
		if v := h.get(one.Service, one.Version, now); rd.Sent.After(v.lastListed) {
			v.lastListed = rd.Sent
		}
	}
	h.mergeWatch(Statement{WatchedMs: reg.WatchedMs, SinceFounding: reg.SinceFounding}, rd.Sent, now)
}

// nextRegister returns the register to be written after the one that was read. With confirm it says that all
// versions are known.
func (h *history) nextRegister(last *Register, rd Reading, confirm bool, now time.Time) Register {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := Register{Era: rd.Era}
	if last != nil && last.Era == rd.Era {
		next.AsOfMs, next.WatchedMs, next.SinceFounding = last.AsOfMs, last.WatchedMs, last.SinceFounding
	}
	if asOf := rd.earliestMs(h.currentAt); confirm && h.watchedLong(now) && !now.Before(h.register.settledAt) && asOf > next.AsOfMs {
		next.AsOfMs, next.WatchedMs, next.SinceFounding = asOf, max(0, h.currentAt.Sub(h.watchedSince).Milliseconds()), h.sinceFounding
	} else {
		confirm = false
	}
	next.Versions = h.registered(last, rd, confirm, now)
	slices.SortFunc(next.Versions, func(a, b RegisteredVersion) int {
		return cmp.Or(cmp.Compare(b.LastMs, a.LastMs), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	if len(next.Versions) > maxRegistered {
		next.Versions, next.AsOfMs = next.Versions[:maxRegistered], 0
	}
	return next
}

// registered returns the versions for the register: those that served lately, and those of the last register unless
// it is certain that no stream of theirs goes on.
func (h *history) registered(last *Register, rd Reading, certain bool, now time.Time) []RegisteredVersion {
	newest := rd.latestMs(now)
	index := make(map[[2]string]int)
	var list []RegisteredVersion
	add := func(service, name string, at int64) {
		at = min(at, newest)
		key := [2]string{service, name}
		if i, found := index[key]; found {
			list[i].LastMs = max(list[i].LastMs, at)
			return
		}
		index[key] = len(list)
		list = append(list, RegisteredVersion{Service: service, Version: name, LastMs: at})
	}
	for service, versions := range h.services {
		for name, v := range versions {
			switch {
			case v.listed:
				add(service, name, newest)
			case h.servedLately(v, now):
				add(service, name, rd.latestMs(v.lastListed))
			}
		}
	}
	if last == nil {
		return list
	}
	for _, v := range last.Versions {
		if !certain || !h.life.over(rd.Clock-time.Duration(v.LastMs)*time.Millisecond) {
			add(v.Service, v.Version, v.LastMs)
		}
	}
	return list
}

// RegisterDuty is what a router has to do about the register in the store.
type RegisterDuty struct {
	// Read says that it may prove more than this router knows, Write that it lacks versions or is to be
	// confirmed.
	Read, Write bool
}

// Due reports whether there is anything to do.
func (d RegisterDuty) Due() bool { return d.Read || d.Write }

// registerDuty returns what there is to do. Others come before this router for the time turn; it confirms the
// register when nobody has for the time renewal, 0 for never, if it can.
func (h *history) registerDuty(turn, renewal time.Duration, confirm bool, now time.Time) RegisterDuty {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.register.required || h.watchedSince.IsZero() {
		return RegisterDuty{}
	}
	writes := renewal > 0
	duty := RegisterDuty{Read: h.register.unread && !h.watchedLong(now) && now.Sub(h.watchedSince) >= turn}
	duty.Write = writes && confirm && h.watchedLong(now) && !now.Before(h.register.settledAt) && now.Sub(h.register.asOf) >= renewal
	for _, versions := range h.services {
		for _, v := range versions {
			if v.listed && !v.held(now) && now.Sub(v.since) >= turn && (writes || !v.open) {
				duty.Write = true
			}
		}
	}
	return duty
}
