package scheduler

import (
	"container/heap"

	"github.com/pkg/errors"
)

// ErrFull means that a team has the largest allowed number of waiting requests.
var ErrFull = errors.New("team's queue is full")

// Share sets a team's part of the service.
type Share struct {
	// Weight is the team's weight among teams of the same order. It must be
	// positive.
	Weight float64

	// Order ranks teams: all requests of a lower order go first.
	Order int
}

// Item is one waiting request. The queue does not use Value.
type Item[T any] struct {
	Team string
	Pool string  // name of the pool of targets that the request waits for
	Cost float64 // in tokens

	Value T

	tag   float64 // finish tag
	order int
	seq   uint64 // order of arrival
	index int    // in the pool's heap, -1 once it is removed
}

// Queue holds waiting requests. It starts no goroutines and is not safe for
// concurrent use. Create it with New.
type Queue[T any] struct {
	limit       int                // waiting requests of a team
	virtualTime map[int]float64    // by order
	lastTag     map[string]float64 // finish tag of the newest item, by team
	waiting     map[string]int     // by team
	pools       map[string]*itemHeap[T]
	nextSeq     uint64
}

// New returns an empty queue that holds at most limit requests of each team.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:       limit,
		virtualTime: map[int]float64{},
		lastTag:     map[string]float64{},
		waiting:     map[string]int{},
		pools:       map[string]*itemHeap[T]{},
	}
}

// SetLimit sets the largest number of waiting requests of each team.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Push adds an item of a team with the share s. It returns ErrFull if the team has
// the largest allowed number of waiting requests.
func (q *Queue[T]) Push(it *Item[T], s Share) error {
	if q.waiting[it.Team] >= q.limit {
		return ErrFull
	}
	it.order = s.Order
	it.tag = max(q.virtualTime[s.Order], q.lastTag[it.Team]) + it.Cost/s.Weight
	it.seq = q.nextSeq
	q.nextSeq++
	q.lastTag[it.Team] = it.tag
	q.waiting[it.Team]++
	h, ok := q.pools[it.Pool]
	if !ok {
		h = &itemHeap[T]{}
		q.pools[it.Pool] = h
	}
	heap.Push(h, it)
	return nil
}

// Peek returns the next item of a pool, or nil if there is none.
func (q *Queue[T]) Peek(pool string) *Item[T] {
	h, ok := q.pools[pool]
	if !ok || h.Len() == 0 {
		return nil
	}
	return (*h)[0]
}

// Pop removes and returns the next item of a pool, or nil if there is none.
func (q *Queue[T]) Pop(pool string) *Item[T] {
	it := q.Peek(pool)
	if it == nil {
		return nil
	}
	q.virtualTime[it.order] = max(q.virtualTime[it.order], it.tag)
	q.remove(it)
	return it
}

// Remove removes an item that is no longer to be run. It reports whether the item
// was in the queue.
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
		if q.lastTag[it.Team] <= q.virtualTime[it.order] {
			delete(q.lastTag, it.Team)
		}
	}
}

// Waiting returns the number of waiting requests of a team.
func (q *Queue[T]) Waiting(team string) int { return q.waiting[team] }

// Pools returns the names of the pools with waiting requests, in no particular
// order.
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

// itemHeap is a heap of items by team order, finish tag and arrival.
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
