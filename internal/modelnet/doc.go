// Package modelnet is a model of a network for tests in bubbles of testing/synctest: hosts whose
// links have a speed and a queue, and connections with a bounded window.
package modelnet
