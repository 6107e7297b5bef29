package fleet

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// router is a router that records what it receives.
type router struct {
	mu           sync.Mutex
	loads        []InstanceLoad
	newPrefixes  []CachedPrefix
	received     []CachedPrefix
	others       map[LifeKey]InstanceLoad
	uses         map[string]Use
	extraUses    []Use
	inflows      map[string]Inflow
	peerConfig   int64
	peerListAsOf time.Time
	suspects     []wire.Suspicion
	// evacuated are the evacuated zones that the router knows of, as of evacuatedAt.
	evacuated   []string
	evacuatedAt int64
	// storeSince and storeUntil are the received contact with the store, contact is the one to
	// send.
	storeSince, storeUntil time.Time
	contact                *StoreContact
	reported               chan struct{}
	starved                bool

	fleet               *Fleet
	exchanger           *Exchanger
	newStreams, streams []affinity.Record
	statements          []affinity.Statement
	replies             map[affinity.Key]affinity.Reply
	founded             bool
	// listRevision is the revision of its list of upstreams.
	listRevision int64
	// describing is called once the router has described itself; nil for nothing.
	describing func()
}

func (r *router) Describe(rep *Report) {
	if r.describing != nil {
		defer r.describing()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.Ready, rep.CPUStarved, rep.Loads, rep.Config, rep.ListAgeMs = true, r.starved, r.loads, 7, listAge.Milliseconds()
	rep.Uses = append([]Use{{Organisation: "org", Asked: 10, Got: 5}}, r.extraUses...)
	rep.Evacuated, rep.EvacuatedAt = r.evacuated, r.evacuatedAt
	rep.Inflows = []Inflow{{Service: "llm", Rate: 2}}
	rep.Store, rep.Instances = r.contact, r.listRevision
}

// readyPeers returns the other routers that callers may be sent to.
func (r *router) readyPeers() []MemberState {
	return slices.DeleteFunc(r.fleet.Alive(), func(e MemberState) bool { return !e.Ready })
}

func (r *router) NewPrefixes() []CachedPrefix {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.newPrefixes
	r.newPrefixes = nil
	return list
}

func (r *router) AddPrefixes(list []CachedPrefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, list...)
}

func (r *router) SetOthers(t Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others, r.uses, r.inflows = t.Loads, t.Uses, t.Inflows
}

func (r *router) StoreContacted(since, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSince, r.storeUntil = since, until
}

func (r *router) MergeEvacuated(_ Member, zones []string, revision int64, _ []RestoredZone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > r.evacuatedAt {
		r.evacuated, r.evacuatedAt = zones, revision
	}
}

func (r *router) ApplyUpdate(Member, *CatalogUpdate, time.Time) {}

func (r *router) PeerVersions(rep *Report, asOf time.Time) {
	r.mu.Lock()
	r.peerConfig, r.peerListAsOf = rep.Config, asOf
	r.mu.Unlock()
	select {
	case r.reported <- struct{}{}:
	default:
	}
}

func (r *router) Catalog(CatalogRequest) CatalogUpdate { return CatalogUpdate{Revision: 3} }

func (r *router) Book(booking.Ask) booking.Answer {
	return booking.Answer{Offer: booking.None, DelayMs: 7}
}

var discardLog = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}

func newRouter(t *testing.T, name string, secret []byte) *router {
	r := &router{reported: make(chan struct{}, 1)}
	var f *Fleet
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) { f.Handler().ServeHTTP(w, in) }))
	t.Cleanup(s.Close)
	f = New(Member{Name: name, Peers: s.Listener.Addr().String(), Callers: name + ":1", Started: 1}, r, discardLog)
	f.SetSecret(secret)
	r.fleet, r.exchanger = f, NewExchanger(f)
	return r
}

func (r *router) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.exchanger.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// listAge is the age of its list that each router reports.
const listAge = 300 * time.Millisecond

var secret = []byte("secret")

func TestRoutersTellEachOther(t *testing.T) {
	a, b := newRouter(t, "a", secret), newRouter(t, "b", secret)
	a.loads = []InstanceLoad{{Instance: "i", Running: 3, PrefillTokens: 100}}
	a.newPrefixes = []CachedPrefix{{Key: 1, Instance: "i"}}
	a.fleet.AddMembers([]Member{b.fleet.self})
	a.run(t)
	b.run(t)
	<-a.reported
	<-b.reported
	require.Equal(t, 2, a.fleet.Count())
	require.Equal(t, "a:1", b.readyPeers()[0].Member.Callers)
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Equal(t, 3, b.others[LifeKey{Instance: "i"}].Running)
	require.Equal(t, 5.0, b.uses["org"].Got)
	require.Equal(t, []CachedPrefix{{Key: 1, Instance: "i"}}, b.received)
	require.EqualValues(t, 7, b.peerConfig)
	require.Len(t, b.suspects, 1)
}

// Two routers know only a third one. Whichever of them begins the exchanges, all three must
// discover each other: callers are sent to routers that are alive.
func TestRoutersAreIntroduced(t *testing.T) {
	for _, middle := range []int{0, 1, 2} {
		routers := []*router{newRouter(t, "a", secret), newRouter(t, "b", secret), newRouter(t, "c", secret)}
		sort.Slice(routers, func(i, j int) bool { return routers[i].fleet.self.Peers < routers[j].fleet.self.Peers })
		for _, r := range routers {
			r.fleet.AddMembers([]Member{routers[middle].fleet.self})
			r.run(t)
		}
		for _, r := range routers {
			for r.fleet.Count() < 3 {
				<-r.reported
			}
		}
	}
}

// An unauthenticated message could report any upstream as full, or deliver a forged
// configuration.
func TestUnauthenticatedMessagesAreRefused(t *testing.T) {
	a, forger := newRouter(t, "a", secret), newRouter(t, "x", []byte("guess"))
	err := forger.exchanger.post(context.Background(), a.fleet.self.Peers, Path, Report{From: forger.fleet.self}, new(Report), maxMessageBytes)
	require.ErrorContains(t, err, "403")
	require.Equal(t, 1, a.fleet.Count())

	data, err := encode(Report{From: Member{Name: "y", Peers: "1.2.3.4:5"}}, secret)
	require.NoError(t, err)
	data[len(data)-1] ^= 1
	resp, err := http.Post("http://"+a.fleet.self.Peers+Path, "", bytes.NewReader(data))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
}

// An unknown host asks for the secret. Only addresses of known routers may receive it.
func TestTheSecretIsSentToKnownAddressesOnly(t *testing.T) {
	full := bytes.Repeat([]byte("s"), secretSize)
	a, b := newRouter(t, "a", full), newRouter(t, "b", nil)
	a.fleet.AddMembers([]Member{{Peers: "127.0.0.1:1"}})
	_, err := b.exchanger.FetchSecret(context.Background(), a.fleet.self.Peers)
	require.ErrorContains(t, err, "403", "a seed that no report has named is not known")
	a.fleet.AddMembers([]Member{b.fleet.self})
	got, err := b.exchanger.FetchSecret(context.Background(), a.fleet.self.Peers)
	require.NoError(t, err)
	require.Equal(t, full, got)
}

func TestCatalogIsGivenToPeers(t *testing.T) {
	a, b := newRouter(t, "a", secret), newRouter(t, "b", secret)
	given, err := a.exchanger.FetchCatalog(context.Background(), b.fleet.self.Peers, CatalogRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 3, given.Revision)
}

// A router is killed and restarts with an empty prefix log. If its entries were numbered on from
// the old ones, its peers would accept none until the number of the last old entry is reached.
func TestPrefixLogStartsAnewWithItsRouter(t *testing.T) {
	a := newRouter(t, "a", secret)
	m := Member{Name: "b", Peers: "127.0.0.1:1", Started: 1}
	a.fleet.handleReport(&Report{From: m, Prefixes: []CachedPrefix{{Key: 1}, {Key: 2}}, LastSeq: 2}, time.Now())
	m.Started = 2
	a.fleet.handleReport(&Report{From: m, Prefixes: []CachedPrefix{{Key: 3}}, LastSeq: 1}, time.Now())
	require.EqualValues(t, 1, a.fleet.peers[m.Peers].receivedSeq)
	require.Len(t, a.received, 3)
	m.Started = 1
	a.fleet.handleReport(&Report{From: m, LastSeq: 9}, time.Now())
	require.EqualValues(t, 1, a.fleet.peers[m.Peers].receivedSeq, "a delayed report of the earlier life is ignored")
}

// A host's wall clock jumps back by seconds, then its router is killed. By its start time the new
// life seems older than the old one. If it were ignored for that, callers would not be referred
// to the router and its work would be counted nowhere until the old life is forgotten. Meanwhile
// other routers may still name the old life.
func TestReportsAreAcceptedAfterAClockJumpedBack(t *testing.T) {
	a := newRouter(t, "a", secret)
	m := Member{Name: "b", Peers: "127.0.0.1:1", Started: 1000}
	a.fleet.handleReport(&Report{From: m, Ready: true, LastSeq: 9}, time.Now())
	a.fleet.peers[m.Peers].reportAt = time.Now().Add(-aliveTimeout)
	old := m
	m.Started = 10
	for range 2 {
		a.fleet.handleReport(&Report{From: m, Ready: true, LastSeq: 1}, time.Now())
		require.Len(t, a.readyPeers(), 1)
		require.EqualValues(t, 1, a.fleet.peers[m.Peers].receivedSeq)
		a.fleet.AddMembers([]Member{old})
	}
	require.EqualValues(t, 10, a.fleet.peers[m.Peers].member.Started)
}

// A router freezes. Its work in flight must not keep engines out of use for long, and callers
// must not be sent to it.
func TestSilentRoutersAreLeftOut(t *testing.T) {
	a := newRouter(t, "a", secret)
	m := Member{Name: "b", Peers: "127.0.0.1:1", Started: 1}
	a.fleet.handleReport(&Report{From: m, Ready: true, Loads: []InstanceLoad{{Instance: "i", Running: 5}}}, time.Now())
	require.Len(t, a.readyPeers(), 1)
	later := time.Now().Add(aliveTimeout)
	a.fleet.mu.Lock()
	loads := a.fleet.othersTotals(later).Loads
	alive := a.fleet.peers[m.Peers].alive(later)
	a.fleet.mu.Unlock()
	require.Empty(t, loads)
	require.False(t, alive)
}

func TestExchangesOfAPairAreBegunByOne(t *testing.T) {
	now := time.Unix(100, 0)
	f := New(Member{Peers: "b"}, nil, discardLog)
	larger, smaller := &peer{member: Member{Peers: "c"}, reportAt: now}, &peer{member: Member{Peers: "a"}, reportAt: now}
	require.True(t, f.isDue(larger, now, exchangeInterval))
	require.False(t, f.isDue(smaller, now, exchangeInterval))
	require.True(t, f.isDue(smaller, now.Add(time.Second), exchangeInterval), "the path in the other direction may be down")
	larger.failures, larger.askedAt = 3, now
	require.False(t, f.isDue(larger, now.Add(exchangeInterval), exchangeInterval))
	require.True(t, f.isDue(larger, now.Add(maxRetryInterval), exchangeInterval))
}
