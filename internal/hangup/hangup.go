// Package hangup takes SIGHUP, with which operators announce other settings, from the
// first moments of a process on.
//
// Guard: until somebody takes the signal, its default action ends the process. A router
// that has just been started again is announced settings as any other, and one that
// took the signal in its main function ended without a line when it came while packages
// were initialised. Go initialises packages that are ready in the order of their import
// paths, each after its imports: this one needs nothing but os/signal, so that nearly all
// others come after it. It must import nothing else.
//
// What is left is the time from exec until the runtime has started. No code of ours can
// run before that; whoever starts the program can close it by starting it with SIGHUP
// ignored, which holds until the signal is taken here.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// announced holds one signal: settings that are read after it are the ones announced.
var announced = make(chan os.Signal, 1)

func init() { signal.Notify(announced, syscall.SIGHUP) }

// Announced gets SIGHUP, also one that came before it was first called.
func Announced() <-chan os.Signal { return announced }
