package resource

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func quote(s string) string { return strconv.Quote(s) }

func (v *validator) upstreamFields(list []Upstream) {
	urls := make(map[string]string)
	for i := range list {
		u := &list[i]
		if _, ok := v.pools[u.Pool]; !ok {
			v.add(u, "pool", "pool "+quote(u.Pool)+" doesn't exist")
		}
		if !validBase(u.URL) {
			v.add(u, "url", "must be http or https with an IP number and a port, such as http://10.0.0.7:9000")
		} else if other, taken := urls[u.URL]; taken {
			v.add(u, "url", "is used by upstream "+other+" too")
		}
		urls[u.URL] = u.Name
		v.between(u, "slots", float64(u.Slots), 0, maxSlots, "must be from 0 to 4096")
		v.between(u, "maxSlots", float64(u.MaxSlots), 0, maxSlots, "must be from 0 to 4096")
		if u.MaxSlots > 0 && u.MaxSlots < u.Slots {
			v.add(u, "maxSlots", "must not be under slots")
		}
		v.length(u, "zone", u.Zone)
	}
}

// validBase wants an IP number: a name would make dispatch wait for a resolver.
func validBase(base string) bool {
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return false
	}
	return strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
}

func (v *validator) routes(list []Route) {
	models, services := make(map[string]string), make(map[string]string)
	for i := range list {
		r := &list[i]
		kind, exists := v.pools[r.Pool]
		if !exists {
			v.add(r, "pool", "pool "+quote(r.Pool)+" doesn't exist")
		}
		switch {
		case (r.Model == "") == (r.Service == ""):
			v.add(r, "model", "exactly one of model and service must be set")
		case r.Model != "":
			v.target(r, "model", r.Model, models, exists && kind != PoolModel)
		default:
			v.target(r, "service", r.Service, services, exists && kind != PoolService)
		}
		v.methods(r)
	}
}

func (v *validator) target(r *Route, field, name string, taken map[string]string, wrongPool bool) {
	valid := modelPattern
	if field == "service" {
		valid = namePattern
	}
	if !valid.MatchString(name) {
		v.add(r, field, "must be a plain name without spaces (a service: letters, digits, dots, dashes, underscores)")
	}
	if other, ok := taken[name]; ok {
		v.add(r, field, quote(name)+" is routed by "+other+" too")
	}
	taken[name] = r.Name
	if wrongPool {
		v.add(r, "pool", "pool "+quote(r.Pool)+" isn't for a "+field)
	}
}

func (v *validator) methods(r *Route) {
	for _, m := range r.AtMostOnce {
		if !slices.Contains(methods, m) {
			v.add(r, "atMostOnce", quote(m)+" must be one of "+strings.Join(methods, ", "))
		}
	}
}
