package edge

// Tune puts limits in force for requests and answers from now on. What the listener and
// the queues were made with stays: MaxHeader, MaxConnections, MaxQueued, BodyTimeout and
// IdleTimeout.
func (e *Edge) Tune(l Limits) {
	made := e.Limits
	l.MaxHeader, l.MaxConnections, l.MaxQueued = made.MaxHeader, made.MaxConnections, made.MaxQueued
	l.BodyTimeout, l.IdleTimeout = made.BodyTimeout, made.IdleTimeout
	e.limits.Store(&l)
	e.bodies.tune(l.MaxBodies)
	e.heads.SetLimit(l.MaxHeads)
	e.Dispatcher.SetMaxResponses(l.MaxResponses)
	e.budget.tune(l.RetryShare)
}
