package platform

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// maxHistory bounds the kept host lists.
const maxHistory = 256

// listedAt is a host list and when it was set.
type listedAt struct {
	at   time.Time
	list platform.HostList
}

// hostHistory keeps host lists, so that an old one can be shown.
type hostHistory struct{ lists []listedAt }

// set adds a list. A list without a newer generation gets the next one.
func (h *hostHistory) set(list platform.HostList, now time.Time) platform.HostList {
	if last := h.newest(); list.Generation <= last.Generation {
		list.Generation = last.Generation + 1
	}
	h.lists = append(h.lists, listedAt{now, list})
	if len(h.lists) > maxHistory {
		h.lists = h.lists[len(h.lists)-maxHistory:]
	}
	return list
}

func (h *hostHistory) newest() platform.HostList {
	if len(h.lists) == 0 {
		return platform.HostList{Hosts: []platform.Host{}}
	}
	return h.lists[len(h.lists)-1].list
}

// shown returns the list as it was lag ago; the first one stands for all before it.
func (h *hostHistory) shown(now time.Time, lag time.Duration) platform.HostList {
	for i := len(h.lists) - 1; i > 0; i-- {
		if !h.lists[i].at.After(now.Add(-lag)) {
			return h.lists[i].list
		}
	}
	if len(h.lists) == 0 {
		return h.newest()
	}
	return h.lists[0].list
}
