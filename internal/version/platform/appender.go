package platform

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"chestnutstack/internal/request/verdict"
)

// Reasons of the errors of an Appender.
const (
	ReasonQueueFull = "append-queue-full"
	ReasonGaveUp    = "append-gave-up"
	ReasonNothing   = "append-of-nothing"
)

const (
	appendQueue     = 1024
	maxBatchRecords = 512
	maxBatchBytes   = 1 << 20
	settlePage      = 512
	appendBackoff   = 50 * time.Millisecond
)

// Proposal is a record that is to be appended.
type Proposal struct {
	// ID is in the record's data too, where the appender's identify function finds it.
	ID   string
	Data []byte
}

// AppenderConfig is what an Appender works with.
type AppenderConfig struct {
	Log    Log
	Stream string
	Budget *Budget
	// Window is how long the first record waits for others to share its append.
	Window time.Duration
	// Floor returns an offset that was in the stream before anything that is appended from now on.
	Floor func() uint64
	// Identify returns the id of a record, or "" if it has none.
	Identify func(data []byte) string
	// Seed makes the pauses between attempts differ between instances.
	Seed uint64
}

// Appender adds records to one stream, several calls in one append.
//
// A reply may be lost after the write took effect, which shows as an error or a time-out. Before it
// appends again, the appender reads what was added since and looks for its own record's id. The id
// goes along unchanged, since the first write may also turn up after it was looked for; readers
// take such a record for what it is, the second of its kind.
type Appender struct {
	cfg   AppenderConfig
	queue chan *appendCall
	bko   *backoff
}

// NewAppender returns an appender that works while Run does.
func NewAppender(cfg AppenderConfig) *Appender {
	return &Appender{
		cfg:   cfg,
		queue: make(chan *appendCall, appendQueue),
		bko:   newBackoff(cfg.Seed, appendBackoff),
	}
}

type callState = int32

const (
	callWaiting callState = iota
	callSent
	callAbandoned
)

type appendCall struct {
	proposals []Proposal
	state     atomic.Int32
	done      chan uint64
}

// abandon reports whether the call was given up before anything of it was sent.
func (cal *appendCall) abandon() bool {
	return cal.state.Swap(callAbandoned) == callWaiting
}

// untake takes back that the call was sent, after proof that it was not.
func (cal *appendCall) untake() { cal.state.CompareAndSwap(callSent, callWaiting) }

// take reports whether the call still wants to be sent.
func (cal *appendCall) take() bool {
	return cal.state.CompareAndSwap(callWaiting, callSent) || cal.state.Load() == callSent
}

// Append adds records, all or none, and returns the offset of the first. If the context ends first,
// the error's verdict says whether the records may be in the log.
func (app *Appender) Append(ctx context.Context, proposals []Proposal) (uint64, error) {
	cal := &appendCall{proposals: proposals, done: make(chan uint64, 1)}
	if len(proposals) == 0 {
		return 0, verdict.New(verdict.NotRun, ReasonNothing)
	}
	select {
	case app.queue <- cal:
	default:
		return 0, verdict.New(verdict.NotRun, ReasonQueueFull).WithRetryAfter(maxPause)
	}
	select {
	case off := <-cal.done:
		return off, nil
	case <-ctx.Done():
		if cal.abandon() {
			return 0, verdict.New(verdict.NotRun, ReasonGaveUp).WithCause(ctx.Err())
		}
		return 0, verdict.New(verdict.MayHaveRun, ReasonGaveUp).WithCause(ctx.Err())
	}
}

// Run appends until the context ends.
func (app *Appender) Run(ctx context.Context) error {
	for {
		btc, err := app.collect(ctx)
		if err != nil {
			return err
		}
		if err := app.commit(ctx, btc); err != nil {
			return err
		}
	}
}

// collect returns the calls that share an append: those of the window, and those that came while
// the budget had none left. The busier the log, the larger the batches.
func (app *Appender) collect(ctx context.Context) ([]*appendCall, error) {
	var btc []*appendCall
	select {
	case cal := <-app.queue:
		btc = append(btc, cal)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := sleep(ctx, app.cfg.Window); err != nil {
		return nil, err
	}
	if err := app.cfg.Budget.wait(ctx); err != nil {
		return nil, err
	}
	cnt, sum := btc[0].size()
	for sum < maxBatchBytes && cnt < maxBatchRecords {
		select {
		case cal := <-app.queue:
			btc = append(btc, cal)
			rcs, byt := cal.size()
			cnt += rcs
			sum += byt
		default:
			return btc, nil
		}
	}
	return btc, nil
}

// size returns the records of a call and their bytes.
func (cal *appendCall) size() (count, bytes int) {
	for _, prp := range cal.proposals {
		bytes += len(prp.Data)
	}
	return len(cal.proposals), bytes
}

func records(btc []*appendCall) [][]byte {
	var rcs [][]byte
	for _, cal := range btc {
		for _, prp := range cal.proposals {
			rcs = append(rcs, prp.Data)
		}
	}
	return rcs
}

// wanted returns the calls that nobody has given up.
func wanted(btc []*appendCall) []*appendCall {
	var rem []*appendCall
	for _, cal := range btc {
		if cal.take() {
			rem = append(rem, cal)
		}
	}
	return rem
}

// commit appends a batch as often as it takes, or until nobody wants it any more.
func (app *Appender) commit(ctx context.Context, btc []*appendCall) error {
	defer app.bko.reset()
	flr := app.cfg.Floor()
	proved := true
	for {
		btc = wanted(btc)
		if len(btc) == 0 {
			return nil
		}
		off, err := app.cfg.Log.Append(ctx, app.cfg.Stream, records(btc))
		if err == nil {
			deliver(btc, off)
			return nil
		}
		lost := verdict.Of(err) != verdict.NotRun
		if proved = proved && !lost; proved {
			untake(btc)
		}
		if err := app.bko.pause(ctx); err != nil {
			return err
		}
		if lost {
			if btc, err = app.settle(ctx, btc, flr); err != nil {
				return err
			}
		}
		if err := app.cfg.Budget.wait(ctx); err != nil {
			return err
		}
	}
}

func untake(btc []*appendCall) {
	for _, cal := range btc {
		cal.untake()
	}
}

// settle looks for the records of a batch in what was added to the stream since floor, and returns
// the calls that are not there. Each call is looked for by itself: an earlier append may have had
// calls between them that were given up since.
func (app *Appender) settle(ctx context.Context, btc []*appendCall, floor uint64) ([]*appendCall, error) {
	due := make(map[string]*appendCall, len(btc))
	for _, cal := range btc {
		due[cal.proposals[0].ID] = cal
	}
	from := floor + 1
	for len(wanted(btc)) > 0 {
		pge, err := app.cfg.Log.Read(ctx, app.cfg.Stream, from, settlePage, 0)
		if err != nil {
			if err := app.bko.pause(ctx); err != nil {
				return nil, err
			}
			continue
		}
		for _, rec := range pge.Records {
			app.found(due, rec)
			from = rec.Offset + 1
		}
		if len(pge.Records) == 0 || from >= pge.Next {
			break
		}
	}
	return slices.DeleteFunc(btc, func(cal *appendCall) bool { return due[cal.proposals[0].ID] == nil }), nil
}

func (app *Appender) found(due map[string]*appendCall, rec Record) {
	idn := app.cfg.Identify(rec.Data)
	if cal, ok := due[idn]; ok {
		deliver([]*appendCall{cal}, rec.Offset)
		delete(due, idn)
	}
}

func deliver(btc []*appendCall, off uint64) {
	for _, cal := range btc {
		cal.done <- off
		off += uint64(len(cal.proposals))
	}
}
