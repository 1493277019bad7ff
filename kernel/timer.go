package kernel

import (
	"container/heap"
	"time"
)

// maxIdle is the timeout of the service loop while no timer is set.
const maxIdle = time.Hour

// timer delivers the message m, or calls fire if it is set, at a time.
type timer struct {
	at       time.Time
	m        Message
	fire     func()
	canceled *bool
}

// timerHeap holds the timers of one service, ordered by due time. Canceled timers stay until they reach the top.
type timerHeap struct{ items timers }

func (h *timerHeap) add(t timer) (cancel func()) {
	canceled := new(bool)
	t.canceled = canceled
	heap.Push(&h.items, t)
	return func() { *canceled = true }
}

// untilNext returns the time until the earliest timer is due, or maxIdle without timers.
func (h *timerHeap) untilNext(now time.Time) time.Duration {
	for len(h.items) > 0 && *h.items[0].canceled {
		heap.Pop(&h.items)
	}
	if len(h.items) == 0 {
		return maxIdle
	}
	return max(0, h.items[0].at.Sub(now))
}

// popDue removes and returns the earliest timer that is due.
func (h *timerHeap) popDue(now time.Time) (timer, bool) {
	for len(h.items) > 0 {
		t := h.items[0]
		if !*t.canceled && t.at.After(now) {
			return timer{}, false
		}
		heap.Pop(&h.items)
		if !*t.canceled {
			return t, true
		}
	}
	return timer{}, false
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
