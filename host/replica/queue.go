package replica

import "sync"

// queue passes values between goroutines without blocking the sender. It has no limit of its own: the number of actions that
// the node has outstanding bounds its length.
type queue[T any] struct {
	mu     sync.Mutex
	filled *sync.Cond
	values []T
	closed bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.filled = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) push(value T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values = append(q.values, value)
	q.filled.Signal()
}

// take blocks until there are values and returns all of them, or returns false once the queue is closed.
func (q *queue[T]) take() ([]T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.values) == 0 && !q.closed {
		q.filled.Wait()
	}
	if q.closed {
		return nil, false
	}
	values := q.values
	q.values = nil
	return values, true
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Broadcast()
}
