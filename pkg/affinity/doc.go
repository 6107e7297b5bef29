// Package affinity tells at which software version of a service a stream began that its caller
// resumes, whichever router it comes back to.
//
// Upstreams of several software versions may serve side by side, and what two versions write does
// not fit together. A router knows the version of a stream that it relays itself. For all others it
// goes by the first of these that holds:
//
//  1. A record. Each router keeps one for every stream that it began. While a service has had more
//     than one version lately, records are sent to other routers with the reports of the fleet, and
//     are written to the store, where a router reads them when it starts.
//  2. The sole version. If a service had just one version for as long as a stream and its caller's
//     tries last, the stream began there. No record is sent then.
//  3. Another router, which is asked for its record, or whether it knows the sole version.
//
// Where none holds, the version is unknown and the stream must not go on.
//
// The sole version has to be certain at a router whose list of upstreams is old, or that has just
// started. Therefore a version that is new beside another one begins no streams until every other
// router has a list with it, or openAfter has passed; and a router claims a sole version only with
// a list that was current within maxListAge.
package affinity
