package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Status says what is in force where, as seen from one router.
type Status struct {
	// Router answers; the next fields are about it.
	Router  string       `json:"router" yaml:"router"`
	InForce uint64       `json:"inForce" yaml:"inForce"`
	Since   time.Time    `json:"since" yaml:"since"`
	Basis   config.Basis `json:"basis" yaml:"basis"`
	// ConfirmedMs is the age of the last confirmation, in milliseconds; -1 when there is none.
	ConfirmedMs int64 `json:"confirmedMs" yaml:"confirmedMs"`
	// Newest is the highest accepted version known here; TableReadable says whether
	// the table showed it just now.
	Newest        uint64         `json:"newest" yaml:"newest"`
	TableReadable bool           `json:"tableReadable" yaml:"tableReadable"`
	Routers       []RouterStatus `json:"routers" yaml:"routers"`
	// WaitingFor lists the routers, dead ones left out, that don't have Newest in force.
	WaitingFor []string `json:"waitingFor" yaml:"waitingFor"`
}

// RouterStatus is one router's line.
type RouterStatus struct {
	ID      string    `json:"id" yaml:"id"`
	Zone    string    `json:"zone" yaml:"zone"`
	State   string    `json:"state" yaml:"state"`
	Version uint64    `json:"version" yaml:"version"`
	Since   time.Time `json:"since" yaml:"since"`
	// Confirmed says whether it has Newest in force.
	Confirmed bool `json:"confirmed" yaml:"confirmed"`
}

func (a *API) status(ctx context.Context, _ *http.Request) (answer, error) {
	now := time.Now()
	s := Status{Router: a.opts.Router, Basis: a.opts.Live.Basis(now), ConfirmedMs: -1, Newest: a.opts.Live.Newest()}
	if cur := a.opts.Live.Current(); cur != nil {
		s.InForce, s.Since = cur.Snapshot.Version, cur.Since
	}
	if age, ok := a.opts.Live.Confirmed(now); ok {
		s.ConfirmedMs = age.Milliseconds()
	}
	// The head read here is noted: without it the table could go out right after, and the
	// next status would show an older newest version than this one did.
	if head, err := a.opts.Store.Head(ctx); err == nil {
		a.opts.Live.Confirm(now, head.Version)
		s.TableReadable, s.Newest = true, max(s.Newest, head.Version)
	}
	a.addRouters(&s, now)
	return answer{status: http.StatusOK, body: s}, nil
}

func (a *API) addRouters(s *Status, now time.Time) {
	members := a.opts.Fleet.Members()
	a.observer.Observe(now, members)
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	s.WaitingFor = []string{}
	for _, m := range members {
		line := RouterStatus{ID: string(m.ID), Zone: m.Zone, State: stateName(m.State), Version: m.Version, Since: a.observer.Since(m.ID)}
		line.Confirmed = m.Version >= s.Newest
		if !line.Confirmed && m.State != wire.MemberDead {
			s.WaitingFor = append(s.WaitingFor, line.ID)
		}
		s.Routers = append(s.Routers, line)
	}
}

func stateName(s wire.MemberState) string {
	switch s {
	case wire.MemberAlive:
		return "alive"
	case wire.MemberLeaving:
		return "leaving"
	case wire.MemberSuspect:
		return "suspect"
	default:
		return "dead"
	}
}

// DrainRequest is the body of POST /api/v1/drain. Router, when set, must be the
// router that answers: a wrong address then drains nobody.
type DrainRequest struct {
	Router string `json:"router,omitempty"`
}

func (a *API) drain(_ context.Context, r *http.Request) (answer, error) {
	var body DrainRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return answer{}, failure(http.StatusBadRequest, CodeBadRequest, "the body isn't a drain request")
	}
	if body.Router != "" && body.Router != a.opts.Router {
		return answer{}, failure(http.StatusConflict, CodeConflict, "this is router "+a.opts.Router)
	}
	a.opts.Drain()
	return answer{status: http.StatusAccepted, body: DrainRequest{Router: a.opts.Router}}, nil
}
