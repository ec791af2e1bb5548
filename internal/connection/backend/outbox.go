package backend

import (
	"time"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
)

// outbox is what is to be said on a link and was not yet given to a transport.
type outbox struct {
	starts  []dispatch.Start
	asks    []job.TaskID
	revokes []job.TaskID
	stops   []job.TaskID
	renew   time.Duration
	probe   bool
}

func push[T any](lst *[]T, itm T, limit int) bool {
	if len(*lst) >= limit {
		return false
	}
	*lst = append(*lst, itm)
	return true
}

func (box *outbox) empty() bool {
	return !box.probe && box.contentless()
}

func (box *outbox) contentless() bool {
	return len(box.starts)+len(box.asks)+len(box.revokes)+len(box.stops) == 0 && box.renew == 0
}

// reset empties the outbox and keeps its memory, but not what it pointed to.
func (box *outbox) reset() {
	clear(box.starts)
	clear(box.asks)
	clear(box.revokes)
	clear(box.stops)
	*box = outbox{
		starts:  box.starts[:0],
		asks:    box.asks[:0],
		revokes: box.revokes[:0],
		stops:   box.stops[:0],
	}
}

// unsent returns the starts, which no transport has seen.
func (box *outbox) unsent() []dispatch.ServerTask {
	if len(box.starts) == 0 {
		return nil
	}
	tsk := make([]dispatch.ServerTask, len(box.starts))
	for idx := range box.starts {
		tsk[idx] = dispatch.ServerTask{Server: box.starts[idx].Server, Task: box.starts[idx].Task}
	}
	return tsk
}
