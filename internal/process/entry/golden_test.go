package entry_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
)

var update = flag.Bool("update", false, "write the golden sessions anew")

// golden is a whole session: its story, what happens, and the file that it must read like.
type golden struct {
	story string
	shape shape
	body  func(wld *world)
}

var small = shape{entries: 3, domains: 3, servers: 6, slots: 2}

var sessions = map[string]golden{
	"submit": {
		story: "A designer drops a template: four thumbnails go to one entry instance and run on the\n" +
			"backend servers of three failure domains. The answer is whole.",
		shape: small,
		body: func(wld *world) {
			wld.report(thumbnails("entry-2", "deck-1", 4))
		},
	},
	"cancel": {
		story: "A teacher closes the browser during an export of sixteen slides, twelve of which run. The\n" +
			"cancel comes through another entry instance than the one that has the job. Nothing more\n" +
			"starts, and the job is marked failed or may-have-run, never whole.",
		shape: small,
		body:  cancelSession,
	},
	"duplicate": {
		story: "A retrying client sends one submission to two entry instances at once, marked as a\n" +
			"resubmission, and once more after the end. Each task starts once, and every caller gets the\n" +
			"whole answer.",
		shape: small,
		body:  duplicateSession,
	},
	"resubmit": {
		story: "A brand check fails on one slide. The operator mends the template and runs the job once more by\n" +
			"its id, through another entry instance than the one that had it. A job that is done can't be\n" +
			"run again, and the other partner can't run it either.",
		shape: small,
		body:  resubmitSession,
	},
	"conflicting-edits": {
		story: "Two operators of Riga edit the thumbnail entry at the same time, based on the same version, and\n" +
			"one of Attica tries to edit it too. One edit is accepted, the other names the version in\n" +
			"force, and Attica is told that it does not own the entry. All entry instances agree.",
		shape: small,
		body:  editSession,
	},
	"entry-stopped": {
		story: "The platform replaces an entry instance in the middle of a job, as planned. The job's caller\n" +
			"gets the whole answer; new submissions there are sent elsewhere with not-run.",
		shape: small,
		body:  stopSession,
	},
	"entry-killed": {
		story: "An entry instance dies in the middle of a job. Its caller's connection breaks: the job may have\n" +
			"run. A resubmission at another entry instance must not start the tasks twice. The others go\n" +
			"on at once, and use the slots of the dead one after a while.",
		shape: small,
		body:  killSession,
	},
	"log-outage": {
		story: "The platform's log is down for an hour. A dispatch order, which must run at most once, is refused\n" +
			"at once with not-run and a retry time; quotations go on. When the log is back, so are orders.",
		shape: small,
		body:  outageSession,
	},
	"lost-reply": {
		story: "The log takes effect and loses its replies. An operator's edit and a dispatch order still come out\n" +
			"right: each is found in the log by its own id, and the order runs once.",
		shape: small,
		body:  lostReplySession,
	},
	"backend-leaving": {
		story: "A backend server says that it leaves. Tasks that run there finish; after a few seconds no new\n" +
			"task reaches it.",
		shape: small,
		body:  leavingSession,
	},
	"silent-connection": {
		story: "A device forgets the connections between an entry instance and a backend server while tasks run\n" +
			"there. The entry instance asks on a new connection and gets the results; nothing starts twice.",
		shape: small,
		body:  silentSession,
	},
	"cut-off-domain": {
		story: "A failure domain is cut off from the platform and from the others. Its entry instance serves what\n" +
			"it can on its own backend servers; orders there are refused. After the cut heals all is as before.",
		shape: small,
		body:  cutSession,
	},
	"backend-killed": {
		story: "A worker loses power while tasks run on its backend server. The job's caller is told that it may\n" +
			"have run, soon and not at its deadline; later jobs run elsewhere.",
		shape: small,
		body:  backendKilledSession,
	},
	"entries-replaced": {
		story: "All entry instances of the system are replaced at once, under the same names. The new ones have\n" +
			"the catalogue from the log and serve; a job of the old ones is not known any more.",
		shape: small,
		body:  replaceSession,
	},
	"entry-starts-in-outage": {
		story: "The log is down and an entry instance is replaced. It takes the catalogue from its peers and\n" +
			"serves repeatable work. With neither log nor peers it would serve nothing and say why.",
		shape: small,
		body:  startInOutageSession,
	},
	"limit-over-the-pool": {
		story: "Quotations may run four at a time in the whole pool. Three entry instances get six at once, then\n" +
			"one of them gets twelve. Never more than four run, and all are done.",
		shape: small,
		body:  limitSession,
	},
	"order-after-kill": {
		story: "An entry instance dies while a dispatch order runs, which must run at most once. Its caller sends\n" +
			"it again elsewhere, and again later. The technician's van is ordered once, and the answer comes.",
		shape: small,
		body:  orderAfterKillSession,
	},
	"all-stopped-with-waiting": {
		story: "All entry instances are told to stop at once while most tasks of each one's job still wait for a\n" +
			"slot and a unit of their limit. Every job gets its whole answer: an instance that leaves stays\n" +
			"the home of its units as long as there is no other that stays.",
		shape: small,
		body:  allStoppedWithWaitingSession,
	},
	"all-stopped": {
		story: "All entry instances are told to stop at once while each has a job in progress. Every job in\n" +
			"progress gets its whole answer.",
		shape: small,
		body:  allStoppedSession,
	},
}

// TestSessions compares whole sessions with golden files; go test -update writes them anew.
func TestSessions(t *testing.T) {
	for name, gld := range sessions {
		t.Run(name, func(t *testing.T) {
			inWorld(t, gld.shape, func(wld *world) {
				wld.began = time.Now()
				gld.body(wld)
				wld.noDoubleStarts()
				compare(t, name, "# "+strings.ReplaceAll(gld.story, "\n", "\n# ")+"\n\n"+wld.out.String())
			})
		})
	}
}

func compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "sessions", name+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("session differs from %s\n--- got\n%s\n--- want\n%s", path, got, want)
	}
}

func repeated(payload string, num int) []string {
	out := make([]string, num)
	for idx := range out {
		out[idx] = payload
	}
	return out
}

func thumbnails(at, id string, num int) submission {
	return submission{at: at, partner: partnerRiga, entry: "riga/thumbnail", id: id, tasks: repeated("sleep=100ms", num)}
}

func order(at, id string) submission {
	return submission{at: at, partner: partnerAttica, entry: "attica/dispatch-order", id: id, tasks: []string{"sleep=100ms"}}
}

func quotation(at, id string) submission {
	return submission{at: at, partner: partnerAttica, entry: "attica/quotation", id: id, tasks: []string{"sleep=100ms"}}
}

// report submits, and writes what the caller was told and how long that took.
func (wld *world) report(sub submission) result {
	res := wld.submit(sub)
	wld.sayResult(sub, res)
	return res
}

func (wld *world) sayResult(sub submission, res result) {
	took := "within a second"
	if res.took >= time.Second {
		took = "after " + res.took.Round(time.Second).String()
	}
	wld.say("%s at %s: %s, %s, %d tasks started", sub.id, sub.at, verdictOf(res), took, len(wld.starts(sub.partner, sub.id)))
}

// running submits in the background and returns once the tasks run; wait returns the result.
func (wld *world) running(sub submission) (wait func() result) {
	var grp errgroup.Group
	var res result
	grp.Go(func() error {
		res = wld.submit(sub)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	wld.say("%s at %s: submitted, %d tasks started", sub.id, sub.at, len(wld.starts(sub.partner, sub.id)))
	return func() result {
		_ = grp.Wait()
		wld.sayResult(sub, res)
		return res
	}
}

func (wld *world) jobs(at string, par job.Partner) (callerpb.JobServiceClient, func()) {
	cli := wld.client()
	svc := callerpb.NewJobServiceClient(cli, "http://"+at+":1", connect.WithInterceptors(caller.Bearer(wld.tokens[par])))
	return svc, cli.CloseIdleConnections
}
