package affinity

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// registerFixture is a fixture whose versions are kept in a register; the store's clock is that of the fixture.
type registerFixture struct {
	*fixture
	reg *Register
	era int64
}

func newRegisterFixture() *registerFixture {
	f := &registerFixture{fixture: newFixture(), era: 1}
	f.view.peer.Register = true
	f.RequireRegister()
	return f
}

// restarted returns the only router of the same fleet, started anew now.
func (f *registerFixture) restarted() *registerFixture {
	next := newRegisterFixture()
	next.reg, next.era, next.now = f.reg, f.era, f.now
	next.startedAt, next.history.sinceFounding = f.now, false
	return next
}

func (f *registerFixture) reading() Reading {
	return Reading{Sent: f.now, Received: f.now, Clock: f.now.Sub(time.Unix(0, 0)), Era: f.era}
}

// keep does what is due about the register, and reports whether it was written.
func (f *registerFixture) keep() bool {
	rd := f.reading()
	f.TakeRegister(f.reg, rd, f.now)
	if !f.RegisterDuty(0, f.now).Write {
		return false
	}
	next := f.NextRegister(f.reg, rd, f.now)
	f.reg = &next
	f.TakeRegister(f.reg, rd, f.now)
	return true
}

// pass lets time pass in which the router does its duty.
func (f *registerFixture) pass(d time.Duration) {
	for range d / time.Second {
		f.now = f.now.Add(time.Second)
		f.Observe(f.now)
		if f.RegisterDuty(0, f.now).Due() {
			f.keep()
		}
	}
}

// Guards against a stream that is refused because all routers were killed, though there was one version throughout.
func TestSoleVersionIsKnownByTheRegisterAfterARestartOfAllRouters(t *testing.T) {
	f := newRegisterFixture()
	f.list("1")
	require.True(t, f.keep())
	f.now = f.now.Add(registerLease / 2)
	again := f.restarted()
	again.list("1")
	require.Equal(t, unknown, again.find("r"))
	again.keep()
	require.Equal(t, bound("1", SoleVersion), again.find("r"))
}

// Guards against streams that go on at a version which only seems to have been the sole one: what the register says
// doesn't prove it.
func TestRegisterThatProvesNothingMakesNoVersionSole(t *testing.T) {
	for name, change := range map[string]func(f *registerFixture){
		"none":                      func(f *registerFixture) { f.reg = nil },
		"too old":                   func(f *registerFixture) { f.now = f.now.Add(registerLease) },
		"of the era before a copy":  func(f *registerFixture) { f.era++ },
		"another version served":    func(f *registerFixture) { f.list("1", "2"); f.keep() },
		"never confirmed":           func(f *registerFixture) { f.reg.AsOfMs = 0 },
		"confirmed by a late start": func(f *registerFixture) { f.reg.SinceFounding, f.reg.WatchedMs = false, 1000 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegisterFixture()
			f.list("1")
			f.keep()
			f.now = f.now.Add(time.Second)
			change(f)
			again := f.restarted()
			again.list("1")
			again.keep()
			require.Equal(t, unknown, again.find("r"))
		})
	}
}

// Guards against streams that begin at a version of which a fleet that starts anew wouldn't know.
func TestVersionBeginsStreamsOnlyOnceTheRegisterHasIt(t *testing.T) {
	f := newRegisterFixture()
	f.list("1")
	require.False(t, f.Open(f.instance("1"), f.now))
	f.keep()
	require.True(t, f.Open(f.instance("1"), f.now))
	f.list("1", "2")
	f.now = f.now.Add(registerLease)
	require.False(t, f.Open(f.instance("2"), f.now), "the register may still prove that 1 is the sole one")
	f.now = f.now.Add(openAfter)
	require.True(t, f.Open(f.instance("2"), f.now), "no register proves anything by now")
}

// Guards against a version that returns after the register has dropped it, and that begins streams by what the router
// knew of the register before.
func TestVersionThatReturnsIsRegisteredAgain(t *testing.T) {
	f := newRegisterFixture()
	f.list("1", "2")
	f.keep()
	f.list("1")
	f.pass(f.life.window() + 2*registerRenewal)
	require.Len(t, f.reg.Versions, 1)
	f.list("1", "2")
	f.now = f.now.Add(openAfter)
	require.False(t, f.Open(f.instance("2"), f.now))
	f.keep()
	require.True(t, f.Open(f.instance("2"), f.now.Add(viewInterval)))
}

// Guards against a proof for the time in which a router of a build without the register uses versions unseen.
func TestRegisterIsNotConfirmedBesideABuildWithoutIt(t *testing.T) {
	f := newRegisterFixture()
	f.view.peer.Register = false
	f.list("1")
	f.keep()
	require.Zero(t, f.reg.AsOfMs)
}

// Guards against a confirmation soon after the store came back from a copy: versions may have begun streams by the
// register that was lost.
func TestRegisterIsNotConfirmedSoonAfterACopy(t *testing.T) {
	f := newRegisterFixture()
	f.list("1")
	f.keep()
	f.era, f.reg = 2, nil
	f.keep()
	require.Zero(t, f.reg.AsOfMs)
	f.pass(eraSettles + 2*time.Second)
	require.NotZero(t, f.reg.AsOfMs)
}

// Guards against calls without end, and against none, while nothing changes.
func TestRegisterIsConfirmedNowAndThen(t *testing.T) {
	f := newRegisterFixture()
	f.list("1")
	written := 0
	for range 600 {
		if f.RegisterDuty(0, f.now).Due() && f.keep() {
			written++
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 6, written, "in a minute")
	require.False(t, f.RegisterDuty(registerWriters, f.now.Add(registerLease)).Due(), "others confirm it")
}

// Guards against a row of another writer that stops a router, or that proves what it doesn't know.
func TestRegistersOfOtherWritersAreTurnedDown(t *testing.T) {
	rd := newRegisterFixture().reading()
	for _, value := range []string{"x", "[]", `{"as_of_ms":-1}`, `{"as_of_ms":9000000000000}`, `{"versions":[{"last_ms":-5}]}`, `{"versions":3}`, `{"era":1.5}`} {
		_, err := DecodeRegister([]byte(value), rd)
		require.Error(t, err, value)
	}
	many, err := json.Marshal(Register{Versions: make([]RegisteredVersion, maxRegistered+1)})
	require.NoError(t, err)
	_, err = DecodeRegister(many, rd)
	require.ErrorIs(t, err, errRegister)
}
