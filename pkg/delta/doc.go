// Package delta compresses documents for receivers that may have an earlier version of them. The
// size of the result follows the size of the change.
package delta
