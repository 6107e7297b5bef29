package gatewayd

import "time"

const (
	// storeTimeout bounds a call to the operators' store at first, maxStoreTimeout one to a store that is slow.
	storeTimeout    = 1500 * time.Millisecond
	maxStoreTimeout = 10 * time.Second
)
