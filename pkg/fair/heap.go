package fair

// accountHeap implements heap.Interface. It orders by key, then by name, so that the
// order is deterministic.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if a, b := h[i].key(), h[j].key(); a != b {
		return a < b
	}
	return h[i].org < h[j].org
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.heapIndex = -1
	return a
}
