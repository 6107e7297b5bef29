package placement

// Load is work in progress on one instance.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Unread is the number of prompt tokens that wait to be read.
	Unread int
	// Memory is the number of tokens that running requests hold or will hold.
	Memory int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Unread: l.Unread + o.Unread, Memory: l.Memory + o.Memory}
}
