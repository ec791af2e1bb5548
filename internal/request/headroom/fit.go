package headroom

import "time"

// Room is an amount of room on a server: processor in thousandths of a core, memory in MB.
type Room struct{ Processor, Memory int64 }

// Holds reports whether a task of a size fits into the room.
func (rom Room) Holds(size Room) bool {
	return rom.Processor >= size.Processor && rom.Memory >= size.Memory
}

// Ending is the room of a run, and how long the run is expected to go on.
type Ending struct {
	Size Room
	Left time.Duration
}

// FitTime returns when a server with some free room and some runs is expected to have room for a task of a size, and what is left beside the task
// then; ok is false if it never has.
func FitTime(free Room, runs []Ending, size Room) (after time.Duration, spare Room, ok bool) {
	ended := make([]bool, len(runs))
	for !free.Holds(size) {
		next := -1
		for idx := range runs {
			if !ended[idx] && (next < 0 || runs[idx].Left < runs[next].Left) {
				next = idx
			}
		}
		if next < 0 {
			return 0, Room{}, false
		}
		ended[next] = true
		after = runs[next].Left
		free.Processor += runs[next].Size.Processor
		free.Memory += runs[next].Size.Memory
	}
	return after, Room{Processor: free.Processor - size.Processor, Memory: free.Memory - size.Memory}, true
}
