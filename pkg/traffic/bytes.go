package traffic

// Bytes is an amount of traffic.
type Bytes struct{ Sent, Received int64 }

// Sum is the bytes in both directions.
func (b Bytes) Sum() int64 { return b.Sent + b.Received }

// Minus gives what came to be since before.
func (b Bytes) Minus(before Bytes) Bytes {
	return Bytes{Sent: b.Sent - before.Sent, Received: b.Received - before.Received}
}
