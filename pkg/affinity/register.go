package affinity

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Register is what the fleet keeps in the store of the software versions of services, for a fleet whose routers
// all start anew. No stream begins at a version before the register has it. Times are by the store's clock, in
// milliseconds.
type Register struct {
	// Era is that of the store in which it was written: a copy proves nothing in a later one.
	Era int64 `json:"era"`
	// AsOfMs is when a router knew all versions that had served for WatchedMs before, or, if SinceFounding
	// is set, since the fleet first started; 0 for never.
	AsOfMs        int64 `json:"as_of_ms"`
	WatchedMs     int64 `json:"watched_ms"`
	SinceFounding bool  `json:"since_founding"`
	// Versions are those that served lately, and those that are about to.
	Versions []RegisteredVersion `json:"versions"`
}

// RegisteredVersion is a version in the register. LastMs is when it was last listed, at the latest.
type RegisteredVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	LastMs  int64  `json:"last_ms"`
}

// Reading ties the store's clock to this router's: Clock was read after Sent and before Received. Era is that
// of the response.
type Reading struct {
	Sent, Received time.Time
	Clock          time.Duration
	Era            int64
}

func (r Reading) earliestMs(at time.Time) int64 {
	return (r.Clock + at.Sub(r.Received)).Milliseconds()
}

func (r Reading) latestMs(at time.Time) int64 { return (r.Clock + at.Sub(r.Sent)).Milliseconds() + 1 }

func (r Reading) earliest(ms int64) time.Time {
	return r.Sent.Add(time.Duration(ms)*time.Millisecond - r.Clock)
}

func (r Reading) latest(ms int64) time.Time {
	return r.Received.Add(time.Duration(ms)*time.Millisecond - r.Clock)
}

const (
	// registerLease is how long after AsOfMs the register proves which versions served. A version that can't be
	// registered begins streams only after that.
	registerLease = 30 * time.Second
	// registerRenewal is the time after which the register is confirmed again.
	registerRenewal = 10 * time.Second
	// registerHold is how long a version that is no longer listed stays in the register at least.
	registerHold = minStreamLife + openAfter
	// openUnregistered is how long after it was first listed a version that can't be registered begins streams.
	openUnregistered = registerLease + openAfter
	// eraSettles is how long after the store came back from a copy nobody confirms the register: versions may
	// have begun streams by the register before.
	eraSettles = 2 * openAfter
	// maxRegistered bounds the versions in the register; with more it proves nothing.
	maxRegistered = 64
)

// errRegister says that the register's times or names are out of range.
const errRegister = errors.ConstError("the register of software versions is out of range")

// DecodeRegister decodes the register as read from the store; nil for none.
func DecodeRegister(value []byte, rd Reading) (*Register, error) {
	if len(value) == 0 {
		return nil, nil
	}
	r := new(Register)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.Versions) > maxRegistered || r.AsOfMs > rd.Clock.Milliseconds() || r.AsOfMs < 0 || r.WatchedMs < 0 {
		return nil, errRegister
	}
	for _, v := range r.Versions {
		if len(v.Service) > maxNameBytes || len(v.Version) > maxNameBytes || v.LastMs < 0 {
			return nil, errRegister
		}
	}
	return r, nil
}

// proves reports whether the register shows all versions that served until it was read.
func (r *Register) proves(rd Reading) bool {
	return r != nil && r.Era == rd.Era && r.AsOfMs > 0 && rd.Clock < time.Duration(r.AsOfMs)*time.Millisecond+registerLease
}

// registerState is what a history knows of the register in the store.
type registerState struct {
	// required says that there is one.
	required bool
	// tried says that a first call for it has ended, whether or not it succeeded.
	tried bool
	// unread says that it wasn't read since this router last began to watch the versions.
	unread bool
	// era is the store's newest era, settledAt when a router may confirm the register in it; eraKnown is set
	// once an era is known.
	era       int64
	eraKnown  bool
	settledAt time.Time
	// asOf is when all versions were known by the register as last read or written.
	asOf time.Time
	// readAt is when the call for the newest of these was made.
	readAt time.Time
}

// noteEra takes over the era of an answer of the store. What a register of an earlier one has is lost.
func (h *history) noteEra(era int64, now time.Time) {
	st := &h.register
	if st.eraKnown && era <= st.era {
		return
	}
	if era > 1 {
		st.settledAt = now.Add(eraSettles)
	}
	st.era, st.eraKnown = era, true
	h.forgetRegister()
}

func (h *history) forgetRegister() {
	h.register.asOf = time.Time{}
	for _, versions := range h.services {
		for _, v := range versions {
			v.heldUntil = time.Time{}
		}
	}
}

// mayOpen reports whether streams may begin at a version as far as the register is concerned.
func (h *history) mayOpen(v *version, now time.Time) bool {
	return !h.register.required || v.held(now) || now.Sub(v.since) >= openUnregistered
}

// held reports whether the register has the version, and keeps it until all other routers know that it is listed.
func (v *version) held(now time.Time) bool { return v.heldUntil.Sub(now) > openAfter }
