package scheduler

import (
	"container/heap"

	"github.com/pkg/errors"
)

// ErrFull says that a team's queue holds as many requests as it may.
var ErrFull = errors.New("team's queue is full")

// Share is a team's standing in the queue.
type Share struct {
	// Weight must be positive.
	Weight float64

	// Order ranks teams; lower goes first.
	Order int
}

// Item is one waiting request. Value is the caller's.
type Item[T any] struct {
	Team string
	Pool string // what the request waits for
	Cost float64

	Value T

	tag   float64
	order int
	seq   uint64
	index int
}

// Queue holds waiting requests. It is a pure core: it must be called by one
// goroutine at a time. Make it with New.
type Queue[T any] struct {
	limit   int
	virtual map[int]float64 // by order
	last    map[string]float64
	waiting map[string]int
	pools   map[string]*itemHeap[T]
	next    uint64
}

// New returns an empty queue that holds at most limit requests of each team.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:   limit,
		virtual: map[int]float64{},
		last:    map[string]float64{},
		waiting: map[string]int{},
		pools:   map[string]*itemHeap[T]{},
	}
}

// SetLimit changes the most requests held for one team.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Push queues an item. It returns ErrFull if its team has too many waiting.
func (q *Queue[T]) Push(it *Item[T], s Share) error {
	if q.waiting[it.Team] >= q.limit {
		return ErrFull
	}
	it.order = s.Order
	it.tag = max(q.virtual[s.Order], q.last[it.Team]) + it.Cost/s.Weight
	it.seq = q.next
	q.next++
	q.last[it.Team] = it.tag
	q.waiting[it.Team]++
	h, ok := q.pools[it.Pool]
	if !ok {
		h = &itemHeap[T]{}
		q.pools[it.Pool] = h
	}
	heap.Push(h, it)
	return nil
}

// Peek returns the item that goes next in a pool, or nil.
func (q *Queue[T]) Peek(pool string) *Item[T] {
	h, ok := q.pools[pool]
	if !ok || h.Len() == 0 {
		return nil
	}
	return (*h)[0]
}

// Pop takes the item that goes next in a pool, or returns nil.
func (q *Queue[T]) Pop(pool string) *Item[T] {
	it := q.Peek(pool)
	if it == nil {
		return nil
	}
	q.virtual[it.order] = max(q.virtual[it.order], it.tag)
	q.remove(it)
	return it
}

// Remove takes an item out that will not run. It tells whether it was there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	h, ok := q.pools[it.Pool]
	if !ok || it.index < 0 || it.index >= h.Len() || (*h)[it.index] != it {
		return false
	}
	q.remove(it)
	return true
}

func (q *Queue[T]) remove(it *Item[T]) {
	h := q.pools[it.Pool]
	heap.Remove(h, it.index)
	if h.Len() == 0 {
		delete(q.pools, it.Pool)
	}
	q.waiting[it.Team]--
	if q.waiting[it.Team] == 0 {
		delete(q.waiting, it.Team)
		if q.last[it.Team] <= q.virtual[it.order] {
			delete(q.last, it.Team)
		}
	}
}

// Waiting returns the number of a team's waiting requests.
func (q *Queue[T]) Waiting(team string) int { return q.waiting[team] }

// Pools returns the pools that have waiting requests.
func (q *Queue[T]) Pools() []string {
	out := make([]string, 0, len(q.pools))
	for p := range q.pools {
		out = append(out, p)
	}
	return out
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	n := 0
	for _, h := range q.pools {
		n += h.Len()
	}
	return n
}

// itemHeap orders items by team order, tag and arrival.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.order != b.order {
		return a.order < b.order
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.seq < b.seq
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
