package cli

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/process/burn"
)

type reportCommand struct {
	Burn reportBurn `cmd:"" help:"Show how fast each class burns its error budget."`
}

type reportBurn struct {
	clientFlags
	Servers []string `help:"Base URLs of all entry instances; --server by default."`
	HTML    string   `name:"html" help:"Write a self-contained page with a plot to this file."`
}

// Help is shown below the usage.
func (*reportBurn) Help() string {
	return "Ends with status 1 if the threshold of an alarm is passed.\n\n" +
		"Example:\n  chestnutstack report burn --servers http://127.0.0.1:7400,http://127.0.0.1:7410 --html burn.html"
}

// Run implements the command.
func (cmd *reportBurn) Run(ctx context.Context, str *streams) error {
	var prb problems
	cmd.check(&prb)
	for _, url := range cmd.Servers {
		prb.url("--servers", url)
	}
	if err := prb.err(); err != nil {
		return err
	}
	ctx, cancel := cmd.context(ctx)
	defer cancel()
	urls := cmd.Servers
	if len(urls) == 0 {
		urls = []string{cmd.Server}
	}
	cli, err := cmd.httpClient()
	if err != nil {
		return err
	}
	rep, err := burn.Run(ctx, burn.Config{Entries: urls, Client: cli, Token: cmd.Token})
	if err != nil {
		return err
	}
	if cmd.HTML != "" {
		if err := writeHTML(cmd.HTML, rep); err != nil {
			return err
		}
	}
	write := rep.WriteTable
	if cmd.JSON {
		write = rep.WriteJSON
	}
	if err := write(str.out); err != nil {
		return err
	}
	if rep.Passed() {
		return errors.New("the threshold of an alarm is passed")
	}
	return nil
}

func writeHTML(path string, rep *burn.Report) error {
	fil, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "writing the page")
	}
	if err := rep.WriteHTML(fil); err != nil {
		_ = fil.Close()
		return err
	}
	return errors.Wrap(fil.Close(), "writing the page")
}
