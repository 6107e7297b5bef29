// Package traffic counts the bytes that a router sends and receives, by what they are for.
package traffic
