package entry_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/request/callerpb"
)

// pause has an entry instance stand still for a time, as one that gets no processor. Then it reads at once what was sent to it meanwhile.
func (wld *world) pause(id string, dur time.Duration) {
	wld.entries[id].clk.stop()
	wld.net.Stall(id)
	time.Sleep(dur)
	wld.entries[id].clk.resume()
	wld.net.Resume(id)
}

// Guards against a task that starts twice, as an entry instance that stood still takes the requests of callers who have left for new ones: on HTTP/2 the
// connection lives on, and the reset of a stream waits behind its request. The copies at another instance are not marked.
func TestPausedEntryStartsNothingForCallersWhoHaveLeft(t *testing.T) {
	cases := map[string]struct {
		// keeps says that the callers share a connection that stays open.
		keeps bool
		// pause is how long the instance stands still. Its callers leave after 300 ms.
		pause time.Duration
	}{
		"a connection that stays open": {keeps: true, pause: 2 * time.Second},
		"connections that are closed":  {pause: 2 * time.Second},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, small, func(wld *world) {
				shared, done := wld.jobs("entry-1", partnerRiga)
				defer done()
				wld.checkWhole(thumbnails("entry-1", "first", 1), wld.leave(shared, thumbnails("entry-1", "first", 1), 10*time.Second))
				wld.grp.Go(func() error { wld.pause("entry-1", cas.pause); return nil })
				time.Sleep(time.Millisecond)
				var copies []func() result
				for _, id := range []string{"deck-1", "deck-2", "deck-3"} {
					sub := thumbnails("entry-1", id, 2)
					sub.tasks = repeated("sleep=3s", 2)
					wld.grp.Go(func() error {
						svc, end := shared, func() {}
						if !cas.keeps {
							svc, end = wld.jobs("entry-1", partnerRiga)
						}
						wld.leave(svc, sub, 300*time.Millisecond)
						end()
						return nil
					})
					again := sub
					again.at = "entry-2"
					copies = append(copies, wld.runningLater(time.Second, again))
				}
				for _, wait := range copies {
					if res := wait(); res.err != nil {
						t.Errorf("a copy at another instance: %v", res.err)
					}
				}
				time.Sleep(5 * time.Second)
				wld.noDoubleStarts()
			})
		})
	}
}

// leave submits a job and gives up after a time; it returns the answer, nil if there was none by then.
func (wld *world) leave(svc callerpb.JobServiceClient, sub submission, after time.Duration) *callerpb.Answer {
	ctx, leave := context.WithTimeout(wld.ctx, after)
	defer leave()
	req := &callerpb.SubmitRequest{SubmissionId: sub.id, CatalogueEntry: sub.entry, NotAfter: timestamppb.New(time.Now().Add(30 * time.Second))}
	for _, pay := range sub.tasks {
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: []byte(pay)})
	}
	res, err := svc.Submit(ctx, connect.NewRequest(req))
	if err != nil {
		return nil
	}
	return res.Msg
}

// runningLater is running after a time.
func (wld *world) runningLater(after time.Duration, sub submission) (wait func() result) {
	done := make(chan result, 1)
	wld.grp.Go(func() error {
		time.Sleep(after)
		done <- wld.submit(sub)
		return nil
	})
	return func() result { return <-done }
}
