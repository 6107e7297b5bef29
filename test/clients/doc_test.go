// Package clients_test plays clients that don't keep to the limits, or keep to them and never finish, against one router as a
// process. While they stand and after they have left, the process lives, stays within its host's memory and descriptors, and
// answers ordinary callers.
//
// Memory is what a host charges to a process: its resident memory and the bytes that its sockets have received and it hasn't read.
package clients_test
