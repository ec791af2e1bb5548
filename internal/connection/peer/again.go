package peer

import (
	"context"
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
)

const methodJobAgain = "job-again"

// wireRequest is a caller's request, encoded as callers send it.
type wireRequest struct {
	Request []byte `json:"request"`
}

// JobAgain returns what a job of a peer had asked for, if it may be asked for again.
func (cli *Client) JobAgain(ctx context.Context, tgt Target, id job.ID) (*callerpb.SubmitRequest, error) {
	if Forwarded(ctx) {
		return nil, verdict.New(verdict.NotRun, ReasonLoop)
	}
	var rep wireRequest
	if err := cli.call(ctx, tgt, methodJobAgain, wireJob{Job: id.String(), Forwarded: true}, &rep); err != nil {
		return nil, err
	}
	req := &callerpb.SubmitRequest{}
	if err := proto.Unmarshal(rep.Request, req); err != nil {
		return nil, verdict.New(verdict.NotRun, ReasonMalformed).WithCause(err)
	}
	return req, nil
}

func jobAgain(ctx context.Context, ses *session, params json.RawMessage) (any, error) {
	wir, err := decode[wireJob](params)
	if err != nil {
		return nil, err
	}
	id, err := job.ParseID(wir.Job)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, ReasonMalformed).WithCause(err)
	}
	req, err := ses.srv.hdl.JobAgain(withForwarded(ctx), id)
	if err != nil {
		return nil, err
	}
	dat, err := proto.Marshal(req)
	return wireRequest{Request: dat}, err
}
