package entry_test

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
)

func cancelSession(wld *world) {
	sub := thumbnails("entry-1", "deck-1", 16)
	sub.tasks = repeated("sleep=2s", 16)
	svc, done := wld.jobs("entry-1", partnerRiga)
	defer done()
	ctx, stop := context.WithCancel(wld.ctx)
	defer stop()
	req := &callerpb.SubmitRequest{SubmissionId: sub.id, CatalogueEntry: sub.entry, NotAfter: timestamppb.New(time.Now().Add(30 * time.Second))}
	for _, pay := range sub.tasks {
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: []byte(pay)})
	}
	str, err := svc.SubmitAndWatch(ctx, connect.NewRequest(req))
	if err != nil || !str.Receive() {
		wld.t.Fatalf("submit: %v, %v", err, str.Err())
	}
	id := str.Msg().GetJobId()
	time.Sleep(500 * time.Millisecond)
	wld.say("%s at entry-1: submitted, %t that all of its tasks started", sub.id, len(wld.starts(partnerRiga, sub.id)) == 16)
	other, doneOther := wld.jobs("entry-3", partnerRiga)
	defer doneOther()
	res, err := other.Cancel(wld.ctx, connect.NewRequest(&callerpb.JobRequest{JobId: id}))
	if err != nil {
		wld.t.Fatalf("cancel: %v", err)
	}
	wld.say("cancelled at entry-3: %v, %s", res.Msg.GetAnswer().GetVerdict(), res.Msg.GetAnswer().GetReason())
	var last *callerpb.Progress
	for str.Receive() {
		last = str.Msg()
	}
	wld.say("the caller at entry-1 was told: %v, %d answers", last.GetAnswer().GetVerdict(), len(last.GetAnswer().GetTasks()))
	time.Sleep(5 * time.Second)
	wld.say("all of its tasks started in the end: %t", len(wld.starts(partnerRiga, sub.id)) == 16)
	stranger, doneStranger := wld.jobs("entry-1", partnerAttica)
	defer doneStranger()
	_, err = stranger.Get(wld.ctx, connect.NewRequest(&callerpb.JobRequest{JobId: id}))
	wld.say("Attica asks for Riga's job: %v", caller.FromError(err).Reason())
	_ = str.Close()
}

func duplicateSession(wld *world) {
	one := thumbnails("entry-1", "deck-1", 4)
	two := one
	one.again, two.again = true, true
	two.at = "entry-3"
	var grp errgroup.Group
	var first, second result
	grp.Go(func() error { first = wld.submit(one); return nil })
	grp.Go(func() error { second = wld.submit(two); return nil })
	_ = grp.Wait()
	wld.say("at entry-1: %s", verdictOf(first))
	wld.say("at entry-3: %s", verdictOf(second))
	two.at = "entry-2"
	wld.report(two)
	changed := thumbnails("entry-1", "deck-1", 3)
	wld.say("the id once more for another request: %s", verdictOf(wld.submit(changed)))
}

func editSession(wld *world) {
	svc := func(at string, par job.Partner) callerpb.CatalogueServiceClient {
		return callerpb.NewCatalogueServiceClient(wld.client(), "http://"+at+":1", connect.WithInterceptors(caller.Bearer(wld.tokens[par])))
	}
	res, err := svc("entry-1", partnerRiga).Get(wld.ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: "riga/thumbnail"}))
	if err != nil {
		wld.t.Fatal(err)
	}
	edit := func(at string, par job.Partner, limit uint32) *callerpb.EditOutcome {
		ent := proto.Clone(res.Msg).(*callerpb.CatalogueEntry)
		ent.Limits.Concurrency = limit
		return wld.apply(at, par, ent)[0]
	}
	show := func(who string, out *callerpb.EditOutcome) {
		wld.say("%s: accepted %t %s, conflicts with the version in force: %t", who, out.GetAccepted(), out.GetReason(), out.GetConflict() > 0)
	}
	show("Riga's first edit at entry-1", edit("entry-1", partnerRiga, 50))
	show("Riga's second edit at entry-2", edit("entry-2", partnerRiga, 70))
	show("Attica's edit at entry-3", edit("entry-3", partnerAttica, 1))
	time.Sleep(4 * time.Second)
	for _, at := range []string{"entry-1", "entry-2", "entry-3"} {
		cur, err := svc(at, partnerRiga).Get(wld.ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: "riga/thumbnail"}))
		if err != nil {
			wld.t.Fatal(err)
		}
		wld.say("in force at %s: concurrency %d", at, cur.Msg.GetLimits().GetConcurrency())
	}
}

func limitSession(wld *world) {
	svc := callerpb.NewCatalogueServiceClient(wld.client(), "http://entry-1:1", connect.WithInterceptors(caller.Bearer(wld.tokens[partnerAttica])))
	res, err := svc.Get(wld.ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: "attica/quotation"}))
	if err != nil {
		wld.t.Fatal(err)
	}
	ent := proto.Clone(res.Msg).(*callerpb.CatalogueEntry)
	ent.Limits.Concurrency = 4
	wld.say("limit of four: accepted %t", wld.apply("entry-2", partnerAttica, ent)[0].GetAccepted())
	time.Sleep(4 * time.Second)
	many := func(at, id string, num int) submission {
		sub := quotation(at, id)
		sub.tasks = repeated("sleep=500ms", num)
		return sub
	}
	var grp errgroup.Group
	results := make([]result, 3)
	for idx, at := range []string{"entry-1", "entry-2", "entry-3"} {
		grp.Go(func() error {
			results[idx] = wld.submit(many(at, "quote-"+at, 6))
			return nil
		})
	}
	_ = grp.Wait()
	for _, res := range results {
		wld.say("six at once: %s", verdictOf(res))
	}
	last := wld.submit(many("entry-1", "quote-last", 12))
	wld.say("twelve at entry-1: %s", verdictOf(last))
	wld.say("at most four ran at once: %t", wld.mostAtOnce(500*time.Millisecond) <= 4)
}

// mostAtOnce returns how many tasks of a run time ran at once, by the journals of all backend servers.
func (wld *world) mostAtOnce(run time.Duration) int {
	var starts []time.Time
	for _, srv := range wld.servers {
		for _, ent := range srv.Journal() {
			starts = append(starts, ent.At)
		}
	}
	most := 0
	for _, end := range starts {
		now := 0
		for _, beg := range starts {
			if !beg.After(end) && end.Before(beg.Add(run)) {
				now++
			}
		}
		most = max(most, now)
	}
	return most
}

func resubmitSession(wld *world) {
	sub := thumbnails("entry-1", "check-1", 2)
	sub.tasks = []string{"sleep=100ms", "sleep=100ms fail=1"}
	svc, done := wld.jobs("entry-1", partnerRiga)
	defer done()
	failed := wld.jobOf(svc, sub)
	wld.say("check-1 at entry-1: %s", caller.ToVerdict(failed.GetAnswer().GetVerdict()))
	well := wld.jobOf(svc, thumbnails("entry-1", "deck-1", 1))
	wld.resubmit("entry-3", partnerRiga, failed.GetJobId(), "check-2")
	wld.say("check-2: %d tasks started", len(wld.starts(partnerRiga, "check-2")))
	wld.resubmit("entry-3", partnerRiga, well.GetJobId(), "deck-2")
	wld.resubmit("entry-3", partnerAttica, failed.GetJobId(), "check-3")
}

// jobOf submits and returns the job's end, with its id also if it failed.
func (wld *world) jobOf(svc callerpb.JobServiceClient, sub submission) *callerpb.Progress {
	req := &callerpb.SubmitRequest{
		SubmissionId: sub.id, CatalogueEntry: sub.entry, NotAfter: timestamppb.New(time.Now().Add(time.Minute)),
	}
	for _, pay := range sub.tasks {
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: []byte(pay)})
	}
	str, err := svc.SubmitAndWatch(wld.ctx, connect.NewRequest(req))
	if err != nil {
		wld.t.Fatal(err)
	}
	var last *callerpb.Progress
	for str.Receive() {
		last = str.Msg()
	}
	_ = str.Close()
	return last
}

func (wld *world) resubmit(at string, par job.Partner, id, submission string) {
	svc, done := wld.jobs(at, par)
	defer done()
	_, err := svc.Resubmit(wld.ctx, connect.NewRequest(&callerpb.ResubmitRequest{
		JobId: id, SubmissionId: submission, NotAfter: timestamppb.New(time.Now().Add(time.Minute)),
	}))
	ver := caller.FromError(err)
	wld.say("%s of %s at %s: %s, %s", submission, par, at, ver.Verdict(), ver.Reason())
}
