package cli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/version/catalogue"
)

type catalogueCommand struct {
	Check catalogueCheck `cmd:"" help:"Check a catalogue file without sending it."`
	Apply catalogueApply `cmd:"" help:"Send the entries of a catalogue file; each is accepted or rejected by itself."`
	Get   catalogueGet   `cmd:"" help:"Show one entry as it is in force."`
	List  catalogueList  `cmd:"" help:"List the entries that are in force."`
	Log   catalogueLog   `cmd:"" help:"Show the history of edits."`
	Token catalogueToken `cmd:"" help:"Make, rotate or revoke a token, in force everywhere without a restart."`
}

type catalogueCheck struct {
	File []string `arg:"" type:"existingfile" help:"Catalogue files."`
	JSON bool     `name:"json" help:"Print JSON."`
}

// Help is shown below the usage.
func (*catalogueCheck) Help() string {
	return "Ends with status 2 if a file is not well.\n\nExample:\n  chestnutstack catalogue check examples/riga.yaml"
}

type catalogueApply struct {
	clientFlags
	File []string `arg:"" type:"existingfile" help:"Catalogue files."`
}

// Help is shown below the usage.
func (*catalogueApply) Help() string {
	return "Example:\n  chestnutstack catalogue apply --token $RIGA_OPERATOR examples/riga.yaml"
}

// Run implements the command.
func (cmd *catalogueApply) Run(ctx context.Context, str *streams) error {
	cli, ctx, cancel, err := cmd.startCatalogue(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	req := &callerpb.ApplyRequest{}
	for _, fil := range cmd.File {
		ents, err := readCatalogueFile(fil)
		if err != nil {
			return &usageError{cause: err}
		}
		for _, ent := range ents {
			req.Entries = append(req.Entries, catalogue.EntryToProto(ent))
		}
	}
	res, err := cli.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return caller.FromError(err)
	}
	return printOutcomes(str, cmd.JSON, res.Msg)
}

func printOutcomes(str *streams, asJSON bool, res *callerpb.ApplyResponse) error {
	rejected := 0
	for _, out := range res.GetOutcomes() {
		if !out.GetAccepted() {
			rejected++
		}
	}
	if asJSON {
		if err := printJSON(str.out, res); err != nil {
			return err
		}
	} else {
		tab := newTable(str.out)
		fmt.Fprintln(tab, "ENTRY\tOFFSET\tOUTCOME")
		for _, out := range res.GetOutcomes() {
			fmt.Fprintf(tab, "%s\t%d\t%s\n", out.GetName(), out.GetOffset(), outcomeText(str, out))
		}
		if err := tab.Flush(); err != nil {
			return err
		}
	}
	if rejected > 0 {
		return errors.Newf("%d of %d edits rejected", rejected, len(res.GetOutcomes()))
	}
	return nil
}

func outcomeText(str *streams, out *callerpb.EditOutcome) string {
	if out.GetAccepted() {
		return paint(str.out, green, "accepted")
	}
	txt := "rejected: " + out.GetReason()
	if out.GetConflict() > 0 {
		txt += fmt.Sprintf(" (the version in force is %d)", out.GetConflict())
	}
	return paint(str.out, red, txt)
}

type catalogueGet struct {
	clientFlags
	Name string `arg:"" help:"Entry, such as riga/thumbnail."`
}

// Help is shown below the usage.
func (*catalogueGet) Help() string { return "Example:\n  chestnutstack catalogue get riga/thumbnail" }

// Run implements the command.
func (cmd *catalogueGet) Run(ctx context.Context, str *streams) error {
	cli, ctx, cancel, err := cmd.startCatalogue(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := cli.Get(ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: cmd.Name}))
	if err != nil {
		return caller.FromError(err)
	}
	if cmd.JSON {
		return printJSON(str.out, res.Msg)
	}
	return printEntries(str, []*callerpb.CatalogueEntry{res.Msg})
}

type catalogueList struct{ clientFlags }

// Help is shown below the usage.
func (*catalogueList) Help() string { return "Example:\n  chestnutstack catalogue list" }

// Run implements the command.
func (cmd *catalogueList) Run(ctx context.Context, str *streams) error {
	cli, ctx, cancel, err := cmd.startCatalogue(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := cli.List(ctx, connect.NewRequest(&callerpb.ListRequest{}))
	if err != nil {
		return caller.FromError(err)
	}
	if cmd.JSON {
		return printJSON(str.out, res.Msg)
	}
	return printEntries(str, res.Msg.GetEntries())
}

func printEntries(str *streams, ents []*callerpb.CatalogueEntry) error {
	tab := newTable(str.out)
	fmt.Fprintln(tab, "ENTRY\tCLASS\tVERSION\tCONCURRENCY\tRATE\tQUEUE\tRUN TIME\tREPEATABLE\tOBJECTIVE\tPREFER")
	for _, ent := range ents {
		if ent.GetDeleted() {
			// Whoever makes the entry anew bases that on the version of the deletion.
			fmt.Fprintf(tab, "%s\tdeleted\t%d\n", ent.GetName(), ent.GetVersion())
			continue
		}
		lim := ent.GetLimits()
		obj := ent.GetObjective()
		fmt.Fprintf(tab, "%s\t%s\t%d\t%s\t%s\t%s\t%v\t%t\t%.4g in %v\t%s\n",
			ent.GetName(), ent.GetClass(), ent.GetVersion(),
			orNone(float64(lim.GetConcurrency())), orNone(lim.GetRate()), orNone(float64(lim.GetQueue())),
			ent.GetExpectedRunTime().AsDuration(), ent.GetRepeatable(),
			obj.GetShare(), obj.GetTarget().AsDuration(), ent.GetPrefer())
	}
	return tab.Flush()
}

// orNone prints a limit; 0 is no limit.
func orNone(val float64) string {
	if val == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", val)
}

type catalogueLog struct {
	clientFlags
	From  uint64 `help:"Offset to begin at; the oldest by default."`
	Limit uint32 `help:"At most this many edits." default:"100"`
}

// Help is shown below the usage.
func (*catalogueLog) Help() string { return "Example:\n  chestnutstack catalogue log --limit 20" }

// Run implements the command.
func (cmd *catalogueLog) Run(ctx context.Context, str *streams) error {
	cli, ctx, cancel, err := cmd.startCatalogue(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	res, err := cli.Log(ctx, connect.NewRequest(&callerpb.LogRequest{From: cmd.From, Limit: cmd.Limit}))
	if err != nil {
		return caller.FromError(err)
	}
	if cmd.JSON {
		return printJSON(str.out, res.Msg)
	}
	tab := newTable(str.out)
	fmt.Fprintln(tab, "OFFSET\tTIME\tAUTHOR\tENTRY\tBASED ON\tOUTCOME")
	for _, edt := range res.Msg.GetEdits() {
		fmt.Fprintf(tab, "%d\t%s\t%s\t%s\t%d\t%s\n", edt.GetOffset(),
			edt.GetTime().AsTime().UTC().Format(time.RFC3339), edt.GetAuthor(),
			edt.GetEntry().GetName(), edt.GetEntry().GetVersion(), outcomeText(str, edt.GetOutcome()))
	}
	return tab.Flush()
}

func (flg *clientFlags) startCatalogue(ctx context.Context) (callerpb.CatalogueServiceClient, context.Context, context.CancelFunc, error) {
	var prb problems
	flg.check(&prb)
	if err := prb.err(); err != nil {
		return nil, nil, nil, err
	}
	cli, err := flg.catalogue()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := flg.context(ctx)
	return cli, ctx, cancel, nil
}
