package backendstandin

import (
	"time"

	"chestnutstack/internal/connection/backendpb"
	"chestnutstack/internal/request/job"
)

// JournalEntry is one start that the stand-in made.
type JournalEntry struct {
	Task   job.TaskID
	Holder string
	At     time.Time
}

// Journal returns the starts that were made, oldest first, as far as Config.JournalLimit allows.
func (srv *Server) Journal() []JournalEntry {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return append([]JournalEntry(nil), srv.journal...)
}

// DoubleStarts returns the tasks that were started more than once, by any attempt, according to
// the journals of all backend servers together; the ids carry attempt 0.
func DoubleStarts(journals ...[]JournalEntry) []job.TaskID {
	seen := map[job.TaskID]int{}
	var double []job.TaskID
	for _, jnl := range journals {
		for _, ent := range jnl {
			tid := anyAttempt(ent.Task)
			seen[tid]++
			if seen[tid] == 2 {
				double = append(double, tid)
			}
		}
	}
	return double
}

// record adds a start to the journal; the caller holds srv.mu.
func (srv *Server) record(now time.Time, tid job.TaskID, hld *holder) {
	if len(srv.journal) >= srv.cfg.JournalLimit {
		kept := copy(srv.journal, srv.journal[len(srv.journal)/2:])
		srv.journal = srv.journal[:kept]
	}
	srv.journal = append(srv.journal, JournalEntry{Task: tid, Holder: hld.name, At: now})
}

// anyAttempt returns the key under which all attempts of a task share one record.
func anyAttempt(tid job.TaskID) job.TaskID {
	return job.NewTaskID(tid.Submission(), tid.Index(), 0)
}

func taskID(id *backendpb.TaskID) job.TaskID {
	return job.NewTaskID(job.SubmissionID(id.GetSubmission()), id.GetIndex(), id.GetAttempt())
}
