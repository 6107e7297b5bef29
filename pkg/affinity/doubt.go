package affinity

import "time"

// Doubt says why a router is certain of no sole version of a service.
type Doubt string

// Reasons for doubt.
const (
	// NoDoubt says that there is a sole version.
	NoDoubt Doubt = ""
	// OldList says that the list of upstreams isn't current, and not all other routers were heard of lately.
	OldList Doubt = "old_list"
	// OldBuild says that a router is alive whose build records no streams.
	OldBuild Doubt = "old_build"
	// ShortWatch says that a version may have served before this router knew which ones do.
	ShortWatch Doubt = "short_watch"
	// NoVersion says that no version is known to have served lately, Several that more than one has.
	NoVersion Doubt = "no_version"
	Several   Doubt = "several_versions"
)

// Doubt returns why this router is certain of no sole version of a service.
func (t *Tracker) Doubt(service string, now time.Time) Doubt {
	if !t.certain(now, t.wake.since(now)) {
		if !t.view.Peers(now).Current {
			return OldBuild
		}
		return OldList
	}
	_, doubt := t.history.soleOrDoubt(service, now)
	return doubt
}
