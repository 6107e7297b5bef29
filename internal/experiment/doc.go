// Package experiment compares variants of the product on the same days and seeds: it pairs their
// plays, gives the differences with their spread, and says when a difference can't be told from
// noise.
//
// Plays come from entries of a journal or from the emulator in internal/replay.
package experiment
