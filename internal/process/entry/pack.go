package entry

import (
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/request/callerpb"
)

// pack replaces the task answers of an ended job by their encoding, a third of their size in memory
// and a single object for the garbage collector. Few answers are asked for again.
func (rec *record) pack() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	tasks := rec.final.GetAnswer().GetTasks()
	if len(tasks) == 0 {
		return
	}
	dat, err := proto.Marshal(&callerpb.Answer{Tasks: tasks})
	if err != nil {
		// It stays as it is, which only takes more memory.
		return
	}
	rec.packed = dat
	rec.final = withTasks(rec.final, nil)
}

// unpack returns the final answer as it was before its tasks were packed.
func unpack(fin *callerpb.Progress, dat []byte) *callerpb.Progress {
	var ans callerpb.Answer
	if err := proto.Unmarshal(dat, &ans); err != nil {
		panic("unpacking what was packed here: " + err.Error())
	}
	return withTasks(fin, ans.GetTasks())
}

// withTasks returns a copy with other task answers; fin may be on its way to callers.
func withTasks(fin *callerpb.Progress, tasks []*callerpb.TaskAnswer) *callerpb.Progress {
	old := fin.GetAnswer()
	return &callerpb.Progress{
		JobId:        fin.GetJobId(),
		SubmissionId: fin.GetSubmissionId(),
		State:        fin.GetState(),
		Tasks:        fin.GetTasks(),
		Started:      fin.GetStarted(),
		Finished:     fin.GetFinished(),
		Answer: &callerpb.Answer{
			JobId:            old.GetJobId(),
			SubmissionId:     old.GetSubmissionId(),
			Verdict:          old.GetVerdict(),
			Reason:           old.GetReason(),
			Tasks:            tasks,
			CatalogueVersion: old.GetCatalogueVersion(),
		},
	}
}

// pack packs the answers of jobs that ended before the last call; those of younger ones may still be
// on their way to their callers.
func (tab *table) pack() {
	for idx := range tab.shards {
		for _, rec := range tab.shards[idx].unpacked() {
			rec.pack()
		}
	}
}

// unpacked returns the records that ended before the last call of it.
func (shd *tableShard) unpacked() []*record {
	shd.mu.Lock()
	defer shd.mu.Unlock()
	recs := make([]*record, 0, shd.seen-shd.packed)
	for idx := shd.packed; idx < shd.seen; idx++ {
		recs = append(recs, shd.ended[idx].rec)
	}
	shd.packed, shd.seen = shd.seen, len(shd.ended)
	return recs
}
