// Package slopes measures what a router's control side costs against the sizes that
// drive it: peers, organisations backlogged, requests a second, members, configuration.
//
// It runs the project's own connections, keepers, claimants and membership duties in one
// process on 127.0.0.1 and fits a line to each figure. Bytes and packets are counted at
// the UDP socket with the headers of IP and UDP.
package slopes
