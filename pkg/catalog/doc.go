// Package catalog keeps a gateway's copy of what its operators' store says: the
// configuration, the upstream instances and the other routers.
//
// A store that can't be reached stops nothing: the newest copy stays in force, and its
// age is shown. Copies only move forward: an older answer never replaces a newer copy.
package catalog
