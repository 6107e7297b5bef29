package order

// load is the one order under way that makes an engine load something. It may wait for
// minutes for the weight store.
//
// Guard: it has a goroutine of its own. Were it waited for, no other engine of this
// router would be looked at meanwhile; in a rollout, when all routers wait for the
// weight store, no change of a role would be carried out anywhere.
//
// Its owner is the goroutine of Run; only done is shared.
type load struct {
	// upstream names the engine, empty when nothing is under way.
	upstream string
	done     chan result
}

// result is what a try to order an engine came to.
type result struct {
	target target
	// maySent says that the engine may have the order.
	maySent bool
	err     error
}

// start begins the load; its result comes on done.
func (l *load) start(upstream string, order func() result) {
	l.upstream = upstream
	go func() { l.done <- order() }()
}

// end waits for the load under way.
func (l *load) end() {
	if l.upstream != "" {
		<-l.done
		l.upstream = ""
	}
}
