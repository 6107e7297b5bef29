package gatewayd

import "time"

const (
	// storeTimeout bounds a call to the operators' store at first, maxStoreTimeout one to a store that is slow:
	// the return of one that fell silent is noticed that much later.
	storeTimeout    = 1500 * time.Millisecond
	maxStoreTimeout = 5 * time.Second
)
