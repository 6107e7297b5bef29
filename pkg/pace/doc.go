// Package pace learns how fast engines prefill prompts, and for how long the streams beside a
// prompt pause during its prefill.
//
// Engines of one service differ in speed, slow down and recover, and need more time for each token
// of a long prompt than of a short one. An engine prefills a prompt in large chunks, one for each
// token that it generates for the streams beside it, so a long prompt makes all of them pause,
// longer on a slow engine. With one fixed speed for all engines, prompts would queue at slow
// engines until they miss their objective, and streams that began in time would end late.
//
// The estimates belong to a life of an engine, or to a service where all its engines share them.
// They start from the settings, are bounded, and decay within seconds, so that an engine that
// recovers is used again. The package reads no clock: callers pass the time.
package pace
