package fleet

import (
	"time"

	"github.com/apex/log"
)

// outgoing builds the report for p.
func (f *Fleet) outgoing(p *peer, others bool) Report {
	r := Report{From: f.self}
	f.local.Describe(&r)
	if others {
		r.Suspects, r.AskOthers = f.local.Suspects(), true
	}
	fresh := f.local.Reads()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads.add(fresh)
	r.Read, r.Last = f.reads.after(p.acked)
	r.Have, r.HaveOf = p.have, p.member.Started
	if others {
		for _, o := range f.peers {
			if o != p && o.alive(now) {
				r.Others = append(r.Others, o.member)
			}
		}
	}
	return r
}

// incoming takes a report.
func (f *Fleet) incoming(r *Report) {
	now := time.Now()
	f.mu.Lock()
	p := f.meet(r.From)
	if p == nil || p.outdated(r, now) {
		f.mu.Unlock()
		return
	}
	if !p.alive(now) {
		f.log.WithFields(log.Fields{"event": "peer_regained", "peer": r.From.Name, "addr": r.From.Peers, "started": r.From.Started}).Info("router is heard of")
	}
	if r.From.Started != p.report.From.Started {
		p.have, p.acked = 0, 0
	}
	p.member, p.report, p.heard, p.failed = r.From, *r, now, 0
	p.report.Read, p.report.Others, p.report.Suspects = nil, nil, nil
	if r.HaveOf == f.self.Started {
		p.acked = r.Have
	}
	fresh := r.Read
	if r.Last > p.have {
		p.have = r.Last
	}
	for _, m := range r.Others {
		f.meet(m)
	}
	loads, uses := f.total(now)
	f.mu.Unlock()
	if len(fresh) > 0 {
		f.local.Learn(fresh)
	}
	if len(r.Suspects) > 0 {
		f.local.Suspect(r.Suspects)
	}
	f.local.Loads(loads, uses)
	f.local.Behind(r.From, r.Config, r.Instances)
}

// total adds up what the others alive have in progress.
func (f *Fleet) total(now time.Time) (map[string]InstanceLoad, map[string]Use) {
	loads := make(map[string]InstanceLoad)
	uses := make(map[string]Use)
	for _, p := range f.peers {
		if !p.alive(now) {
			continue
		}
		for _, l := range p.report.Loads {
			sum := loads[l.Instance]
			sum.Instance = l.Instance
			sum.Running += l.Running
			sum.Unread += l.Unread
			sum.Memory += l.Memory
			loads[l.Instance] = sum
		}
		for _, u := range p.report.Uses {
			sum := uses[u.Organisation]
			sum.Organisation = u.Organisation
			sum.Asked += u.Asked
			sum.Got += u.Got
			uses[u.Organisation] = sum
		}
	}
	return loads, uses
}
