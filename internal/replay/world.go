package replay

import (
	"math/rand/v2"
	"time"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/shedding"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Decisions are the mechanisms that are in use.
type Decisions struct {
	Speeds, Pauses, Fetch bool
	// Bookings: long prompts take turns at the engines.
	Bookings bool
	// Herds: routers reckon with what others do since their last report.
	Herds bool
	// HandOver: a router that has no processor left passes requests on to others.
	HandOver bool
	// Warmup: what cold engines get is bounded.
	Warmup bool
	// Backoffs: engines that want no requests for a time get none.
	Backoffs bool
	// Connected: engines to which a router is connected are preferred.
	Connected bool
}

// placed is what a router knows of a request that it has placed.
type placed struct {
	choice  placement.Choice
	entry   *placement.InFlight
	reading *pace.Prefill
	ends    connectionEnds
}

// world is the routers before the engines. They hear late of each other's work in progress; what
// engines keep, shares and speeds are known to all at once.
type world struct {
	decisions Decisions
	service   Service
	model     *Model
	declared  *routing.Service
	engines   []*engine
	routers   *routers
	holdings  *placement.KVIndex
	shares    *placement.Shares
	book      *pace.Estimator
	gates     *gates
	bookings  *booking.Book
	conns     *connections
	random    *rand.Rand
	// held are jobs that wait for their turn, the earliest first.
	held    []*job
	results map[string]*Result
	// overCold is the number of requests to cold engines beyond what those bear.
	overCold int
}

// epoch is the moment at which virtual time begins.
var epoch = time.Unix(1_000_000, 0)

// Run plays a load and gives how each organisation's requests went.
func Run(d Decisions, s Service, m Model, l Load) map[string]*Result {
	results, _ := Play(d, s, m, l)
	return results
}

// Play plays a load. It gives how each organisation's requests went, and the number of requests to
// cold engines beyond what those bear.
func Play(d Decisions, s Service, m Model, l Load) (results map[string]*Result, overCold int) {
	const bitsPerByte, tokenBytes = 8, 1000
	engineOf := &routing.Engine{Slots: m.Slots, KVCapacity: 1 << 30, EventTokens: m.Event, KVTokenBytes: tokenBytes,
		LinkBitsPerSecond: tokenBytes * bitsPerByte / m.Copied.Seconds()}
	w := &world{decisions: d, service: s, model: &m, declared: &routing.Service{Name: "llm", Engine: engineOf},
		routers: newRouters(s), holdings: placement.NewKVIndex(), shares: placement.NewShares(), book: pace.NewEstimator(), bookings: booking.NewBook(booking.DefaultRunShare),
		random: rand.New(rand.NewPCG(l.Seed, 2)), results: make(map[string]*Result)}
	w.gates, w.conns = newGates(s, w.declared), newConnections(s)
	for i, slow := range s.Slow {
		w.engines = append(w.engines, newEngine(&m, i, slow))
	}
	w.routers.skew = l.Skew
	w.release(s.Releases)
	w.gates.follow(w.engines)
	requests := l.requests()
	for len(requests) > 0 || len(w.held) > 0 || w.busy() {
		e := w.next()
		if w.sendsHeld(requests, e) {
			continue
		}
		if len(requests) > 0 && (e == nil || requests[0].At <= e.until) {
			w.arrive(requests[0])
			requests = requests[1:]
			continue
		}
		if e == nil {
			break
		}
		w.step(e)
	}
	return w.results, w.overCold
}

func (w *world) busy() bool {
	for _, e := range w.engines {
		if len(e.queue)+len(e.runs) > 0 {
			return true
		}
	}
	return false
}

// next is the engine whose next step is the first; nil when none has anything to do.
func (w *world) next() *engine {
	var first *engine
	for _, e := range w.engines {
		if len(e.queue)+len(e.runs) > 0 && (first == nil || e.until < first.until) {
			first = e
		}
	}
	return first
}

func (w *world) step(e *engine) {
	now := e.until
	if e.idle(now) {
		e.until = max(now, e.queue[0].at)
		return
	}
	e.step(now, w.began, w.ended)
}

func (w *world) result(org string) *Result {
	r := w.results[org]
	if r == nil {
		r = new(Result)
		w.results[org] = r
	}
	return r
}

// arrive has the router decide about a request.
func (w *world) arrive(r *Request) {
	now := epoch.Add(r.At)
	at := w.routers.take(r, w.decisions.HandOver, now)
	if at == nil {
		w.result(r.Organisation).Refused++
		return
	}
	w.shares.AddAsked(r.Organisation, r.Prompt.Size(), now)
	choice, ok := w.choose(r, at, now, "")
	if ok && w.turnedAway(r, at, choice.Candidate.Instance, now) {
		choice, ok = w.choose(r, at, now, choice.Candidate.Instance.ID)
		ok = ok && !w.turnedAway(r, at, choice.Candidate.Instance, now)
	}
	if !ok {
		w.result(r.Organisation).Refused++
		return
	}
	w.shares.AddGot(r.Organisation, r.Prompt.Size(), now)
	w.sends(at, choice.Candidate.Instance, now)
	j := &job{request: r, left: r.Prompt.MaxOutput, at: r.At + choice.Hold, sent: r.At + choice.Hold}
	j.placed = placed{choice: choice, entry: at.ledger.Begin(choice.Candidate.Instance.Life(), w.work(r, choice))}
	at.inflows.Assign("llm", choice.AddedCost, now)
	w.connect(at, j)
	if choice.Hold > 0 {
		w.hold(j)
		return
	}
	w.send(j)
}

func (w *world) work(r *Request, c placement.Choice) placement.Work {
	return placement.Work{Prompt: r.Prompt, PrefillTokens: c.PrefillTokens, PauseWeight: w.fragile(r), LongPrompt: c.IsLongPrompt()}
}

func (w *world) fragile(r *Request) int {
	if r.Prompt.MaxOutput <= w.model.Event {
		return 0
	}
	return placement.StreamWeight(r.Prompt.Size())
}

// choose chooses an engine other than the one that was tried before.
func (w *world) choose(r *Request, at *router, now time.Time, tried upstream.ID) (placement.Choice, bool) {
	kept := w.holdings.Lookup(r.chain, now)
	var candidates []placement.Candidate
	for i, e := range w.engines {
		handicap, usable := at.health.Usable(e.instance.Life(), now)
		if !usable || e.instance.ID == tried || !w.open(i, at, now) {
			continue
		}
		of := kept[e.instance.Life()]
		c := placement.Candidate{Instance: e.instance, Handicap: handicap, Cached: of.Sent, Confirmed: of.Confirmed}
		if w.decisions.Connected {
			c.Connected = w.conns.connected(connectionEnds{router: at.index, engine: e.instance.ID}, now.Sub(epoch))
		}
		if w.decisions.Speeds {
			c.Slowness = w.book.Slowness(e.instance.Life(), now)
		}
		candidates = append(candidates, c)
	}
	at.ledger.FillLoads(candidates, now)
	req := placement.Request{Work: placement.Work{Prompt: r.Prompt, PauseWeight: w.fragile(r)}, Prefixes: r.chain, Service: w.declared, AllowFetch: w.decisions.Fetch}
	if w.decisions.Speeds {
		req.Scale = w.book.Scale("llm", r.Prompt.Input)
	}
	if w.decisions.Pauses {
		req.MaxPause, req.PauseCurve = w.service.MaxPause, w.book.Curve("llm")
	}
	own := time.Duration(max(1, req.Scale) * float64(r.Prompt.Input) / w.service.Usual.TokensPerMs * float64(time.Millisecond))
	req.Limits = shedding.PromptLimits(shedding.Request{Objective: w.service.Objective, Prefill: own, Standing: w.shares.Standing(r.Organisation, w.service.Capacity, now)})
	if req.Limits.OverShare {
		at.inflows.CountOverShare("llm", now)
	}
	if w.decisions.Herds {
		req.Unseen, req.Random = at.inflows.Unseen("llm", now), w.random.Float64()
	}
	if w.decisions.Bookings {
		req.MaxNear, req.NearFrom = booking.MaxOffers, booking.MinPrefill(w.service.MaxPause)
	}
	if w.decisions.Connected {
		req.ConnectCost = w.service.Opening
	}
	found := placement.Choose(req, candidates, w.service.Usual)
	if len(found.Near) > 0 {
		return w.turn(&req, found, now)
	}
	return found.Choice, found.OK
}

// send puts a job into its engine's queue, after the copying of what it fetches.
func (w *world) send(j *job) {
	e := w.engineOf(j.placed.choice.Candidate.Instance)
	r := j.request
	life, now := e.instance.Life(), epoch.Add(j.sent)
	w.holdings.RecordUse(life, r.chain, now)
	j.placed.reading = w.book.BeginPrefill("llm", life, j.placed.choice.Wait-j.placed.choice.Queue, now)
	kept := e.kept.tokens(r.chain)
	if holder := j.placed.choice.FetchFrom; holder != nil {
		fetched := w.engineOf(holder).kept.tokens(r.chain)
		j.at += time.Duration(max(0, fetched-kept)) * w.model.Copied
		kept = max(kept, fetched)
	}
	w.result(r.Organisation).Again += max(0, w.keptAnywhere(r)-kept)
	j.unread = r.Prompt.Input - kept
	if len(e.queue)+len(e.runs) == 0 {
		e.until = max(e.until, j.sent)
	}
	e.queue = append(e.queue, j)
}

// began tells the router of a job's first event.
func (w *world) began(j *job, at time.Duration) {
	now := epoch.Add(at)
	p := j.placed
	p.entry.MarkPrefilled()
	p.reading.FirstEvent(now)
	life := p.choice.Candidate.Instance.Life()
	w.holdings.Confirm(life, j.request.chain)
	w.book.Observe(pace.Sample{Service: "llm", Life: life, Context: j.request.Prompt.Input, Base: p.choice.Base,
		Queue: p.choice.Queue, Measured: at - j.sent}, now)
	w.pauses(w.engineOf(p.choice.Candidate.Instance))
}

// pauses tells the router of the pauses of an engine's streams so far.
func (w *world) pauses(e *engine) {
	for _, j := range e.runs {
		if j.longest >= pace.MinPause {
			w.book.ObservePause(e.instance.Life(), epoch.Add(j.ended-j.longest), epoch.Add(j.ended))
		}
		if j.longest > w.service.MaxPause {
			j.placed.entry.MarkLate()
		}
	}
}

func (w *world) ended(j *job, at time.Duration) {
	w.conns.release(j.placed.ends, at)
	j.placed.entry.End()
	j.placed.reading.End()
	result := w.result(j.request.Organisation)
	paused := j.longest > w.service.MaxPause
	switch {
	case paused:
		result.Paused++
		result.Late++
	case j.first-j.request.At > w.service.Objective:
		result.Late++
	default:
		result.InTime++
	}
}
