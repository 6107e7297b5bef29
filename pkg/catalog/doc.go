// Package catalog keeps a gateway's copy of the state in the operators' store: the configuration,
// the upstream instances and the evacuated zones. Copies come from the store or from other routers.
//
// When the store is unavailable, the newest copy stays in use and its age is reported. An older
// response never replaces a newer copy.
package catalog
