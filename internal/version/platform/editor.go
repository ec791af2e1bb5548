package platform

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/catalogue"
)

// snapshotAppend is how many chunks of a snapshot go into one append.
const snapshotAppend = maxBatchBytes / catalogue.ChunkSize

// Editor makes edits, tokens and snapshots into records of the catalogue's stream.
type Editor struct {
	app *Appender
	flw *Follower
}

// NewEditor returns an editor over the appender and the follower of the catalogue's stream.
func NewEditor(app *Appender, flw *Follower) *Editor { return &Editor{app: app, flw: flw} }

// IdentifyRecord returns the id of a record of the catalogue's stream, for an Appender.
func IdentifyRecord(data []byte) string {
	rec, err := catalogue.Decode(data)
	if err != nil {
		return ""
	}
	return string(rec.ID)
}

// Edit appends edits and returns the outcome of each once it was read back at its offset. An error
// whose verdict is may-have-run leaves open which of them are accepted.
func (edt *Editor) Edit(ctx context.Context, aut catalogue.Author, ens []catalogue.Entry) ([]catalogue.Outcome, error) {
	rcs := make([]catalogue.Record, len(ens))
	for idx := range ens {
		rcs[idx] = newRecord(aut)
		rcs[idx].Edit = &ens[idx]
	}
	return edt.write(ctx, rcs)
}

// EditTokens does for tokens what Edit does for entries.
func (edt *Editor) EditTokens(
	ctx context.Context, aut catalogue.Author, tks []catalogue.Token,
) ([]catalogue.Outcome, error) {
	rcs := make([]catalogue.Record, len(tks))
	for idx := range tks {
		rcs[idx] = newRecord(aut)
		rcs[idx].Token = &tks[idx]
	}
	return edt.write(ctx, rcs)
}

func newRecord(aut catalogue.Author) catalogue.Record {
	return catalogue.Record{ID: catalogue.RecordID(ulid.Make().String()), Author: aut, Time: time.Now()}
}

func (edt *Editor) write(ctx context.Context, rcs []catalogue.Record) ([]catalogue.Outcome, error) {
	off, err := edt.append(ctx, rcs)
	if err != nil {
		return nil, err
	}
	ous := make([]catalogue.Outcome, len(rcs))
	for idx, rec := range rcs {
		ous[idx], err = edt.flw.Await(ctx, off+uint64(idx), rec.ID)
		if err != nil {
			return nil, err
		}
	}
	return ous, nil
}

func (edt *Editor) append(ctx context.Context, rcs []catalogue.Record) (uint64, error) {
	prs := make([]Proposal, len(rcs))
	for idx, rec := range rcs {
		dat, err := catalogue.Encode(rec)
		if err != nil {
			return 0, verdict.New(verdict.NotRun, string(catalogue.ReasonInvalid)).WithCause(err)
		}
		prs[idx] = Proposal{ID: string(rec.ID), Data: dat}
	}
	return edt.app.Append(ctx, prs)
}

// WriteSnapshot appends a snapshot of the follower's state. A writer that dies in between leaves
// chunks that no reader uses; two writers at once cost bytes and no more.
func (edt *Editor) WriteSnapshot(ctx context.Context, instance string) error {
	sta := edt.flw.clone()
	dat, err := sta.EncodeSnapshot()
	if err != nil {
		return err
	}
	chs := catalogue.Chunks(ulid.Make().String(), sta.Offset(), dat)
	for len(chs) > 0 {
		cnt := min(len(chs), snapshotAppend)
		rcs := make([]catalogue.Record, cnt)
		for idx := range rcs {
			rcs[idx] = newRecord(catalogue.Author{Name: instance})
			rcs[idx].Chunk = &chs[idx]
		}
		if _, err := edt.append(ctx, rcs); err != nil {
			return err
		}
		chs = chs[cnt:]
	}
	return nil
}
