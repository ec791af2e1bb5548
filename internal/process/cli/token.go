package cli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/version/token"
)

type catalogueToken struct {
	clientFlags
	Name    string        `arg:"" help:"Name of the token, such as riga/deckforge."`
	Role    string        `help:"caller or operator." enum:"caller,operator" default:"caller"`
	Expires time.Duration `help:"For how long it counts; 0 is for good." default:"0s"`
	Revoke  bool          `help:"Let the token count no more."`
}

// Help is shown below the usage.
func (*catalogueToken) Help() string {
	return "Prints the new token once; only its hash is sent and kept. A token of that name that there was " +
		"counts no more.\n\nExample:\n  chestnutstack catalogue token riga/deckforge --role caller --expires 720h"
}

// Run implements the command.
func (cmd *catalogueToken) Run(ctx context.Context, str *streams) error {
	if cmd.Expires < 0 {
		var prb problems
		prb.add("--expires", cmd.Expires, "0 or more")
		return prb.err()
	}
	cli, ctx, cancel, err := cmd.startCatalogue(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	tok := token.Generate(cmd.Name)
	hsh := token.Hash(tok)
	edt := &callerpb.TokenEdit{Name: cmd.Name, Role: cmd.Role, Hash: hsh[:], Revoked: cmd.Revoke}
	if cmd.Expires > 0 {
		edt.Expiry = timestamppb.New(time.Now().Add(cmd.Expires))
	}
	res, err := cli.ApplyTokens(ctx, connect.NewRequest(&callerpb.ApplyTokensRequest{Tokens: []*callerpb.TokenEdit{edt}}))
	if err != nil {
		return caller.FromError(err)
	}
	if err := printOutcomes(str, cmd.JSON, res.Msg); err != nil {
		return err
	}
	if !cmd.Revoke {
		fmt.Fprintln(str.out, tok)
	}
	return nil
}
