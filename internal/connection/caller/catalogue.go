package caller

import (
	"context"

	"connectrpc.com/connect"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/token"
)

const (
	maxLoggedEdits     = 1000
	defaultLoggedEdits = 100
)

// Catalogue edits and shows the catalogue.
type Catalogue interface {
	Classes
	// Edit returns what the rule made of each edit, once it was read back.
	Edit(ctx context.Context, who token.Identity, ents []catalogue.Entry) ([]catalogue.Outcome, error)
	// EditTokens does so for tokens, each based on its current version.
	EditTokens(ctx context.Context, who token.Identity, toks []catalogue.Token) ([]catalogue.Outcome, error)
	Entry(name string) (catalogue.Entry, bool)
	// Entries returns what is in force, and the offset up to which the catalogue was read.
	Entries() ([]catalogue.Entry, uint64)
	// Edits returns at most limit edits from an offset on, and the oldest offset that is known.
	Edits(owner job.Partner, from uint64, limit int) ([]*callerpb.LoggedEdit, uint64)
}

// CatalogueService implements callerpb.CatalogueServiceHandler. A partner sees its own entries only.
type CatalogueService struct {
	cat  Catalogue
	auth Authenticator
}

// NewCatalogueService returns the handler.
func NewCatalogueService(cat Catalogue, auth Authenticator) *CatalogueService {
	return &CatalogueService{cat: cat, auth: auth}
}

// Apply implements callerpb.CatalogueServiceHandler.
func (svc *CatalogueService) Apply(ctx context.Context, req *connect.Request[callerpb.ApplyRequest]) (*connect.Response[callerpb.ApplyResponse], error) {
	who, err := svc.identifyOperator(req.Header().Get(headerAuthorization))
	if err != nil {
		return nil, ToConnectError(err)
	}
	ents, err := toEntries(req.Msg.GetEntries())
	if err != nil {
		return nil, ToConnectError(err)
	}
	outs, err := svc.cat.Edit(ctx, who, ents)
	if err != nil {
		return nil, ToConnectError(err)
	}
	res := &callerpb.ApplyResponse{}
	for idx, out := range outs {
		res.Outcomes = append(res.Outcomes, EditOutcome(ents[idx].Name(), out))
	}
	return connect.NewResponse(res), nil
}

// ApplyTokens implements callerpb.CatalogueServiceHandler.
func (svc *CatalogueService) ApplyTokens(ctx context.Context, req *connect.Request[callerpb.ApplyTokensRequest]) (*connect.Response[callerpb.ApplyResponse], error) {
	who, err := svc.identifyOperator(req.Header().Get(headerAuthorization))
	if err != nil {
		return nil, ToConnectError(err)
	}
	toks, err := toTokens(who, req.Msg.GetTokens())
	if err != nil {
		return nil, ToConnectError(err)
	}
	outs, err := svc.cat.EditTokens(ctx, who, toks)
	if err != nil {
		return nil, ToConnectError(err)
	}
	res := &callerpb.ApplyResponse{}
	for idx, out := range outs {
		res.Outcomes = append(res.Outcomes, EditOutcome(toks[idx].Name, out))
	}
	return connect.NewResponse(res), nil
}

func (svc *CatalogueService) identifyOperator(authorization string) (token.Identity, error) {
	who, err := identify(svc.auth, authorization)
	if err == nil && !who.Operator() {
		err = verdict.New(verdict.NotRun, ReasonForbidden)
	}
	return who, err
}

// toTokens checks and maps edits of tokens; the first that is wrong refuses all.
func toTokens(who token.Identity, msgs []*callerpb.TokenEdit) ([]catalogue.Token, error) {
	if len(msgs) == 0 || len(msgs) > maxEntriesInEdit {
		return nil, malformed("tokens: %d, want 1 to %d", len(msgs), maxEntriesInEdit)
	}
	toks := make([]catalogue.Token, 0, len(msgs))
	for _, msg := range msgs {
		if len(msg.GetHash()) != catalogue.HashSize {
			return nil, malformed("token %q: hash of %d bytes, want %d", msg.GetName(), len(msg.GetHash()), catalogue.HashSize)
		}
		tok := catalogue.Token{
			Name:    msg.GetName(),
			Partner: who.Partner(),
			Role:    catalogue.Role(msg.GetRole()),
			Hash:    [catalogue.HashSize]byte(msg.GetHash()),
			Revoked: msg.GetRevoked(),
		}
		if msg.GetExpiry() != nil {
			tok.Expiry = msg.GetExpiry().AsTime()
		}
		for _, prb := range catalogue.ValidateToken(tok) {
			return nil, malformed("token %q: %v", msg.GetName(), prb)
		}
		toks = append(toks, tok)
	}
	return toks, nil
}

// toEntries checks and maps edits; the first that is wrong refuses all, before any is written.
func toEntries(msgs []*callerpb.CatalogueEntry) ([]catalogue.Entry, error) {
	if len(msgs) == 0 || len(msgs) > maxEntriesInEdit {
		return nil, malformed("entries: %d, want 1 to %d", len(msgs), maxEntriesInEdit)
	}
	ents := make([]catalogue.Entry, 0, len(msgs))
	for _, msg := range msgs {
		ent, err := catalogue.EntryFromProto(msg)
		if err != nil {
			return nil, malformed("entry %q: %v", msg.GetName(), err)
		}
		for _, prb := range catalogue.Validate(ent) {
			return nil, malformed("entry %q: %v", msg.GetName(), prb)
		}
		ents = append(ents, ent)
	}
	return ents, nil
}

// EditOutcome maps what the rule made of an edit.
func EditOutcome(name string, out catalogue.Outcome) *callerpb.EditOutcome {
	return &callerpb.EditOutcome{
		Name:     name,
		Accepted: out.Accepted,
		Offset:   out.Offset,
		Reason:   string(out.Reason),
		Conflict: out.Conflict,
	}
}

// Get implements callerpb.CatalogueServiceHandler.
func (svc *CatalogueService) Get(_ context.Context, req *connect.Request[callerpb.GetEntryRequest]) (*connect.Response[callerpb.CatalogueEntry], error) {
	who, err := identify(svc.auth, req.Header().Get(headerAuthorization))
	if err != nil {
		return nil, ToConnectError(err)
	}
	ent, ok := svc.cat.Entry(req.Msg.GetName())
	if !ok || ent.Owner() != who.Partner() {
		return nil, ToConnectError(verdict.New(verdict.NotRun, ReasonUnknownEntry))
	}
	return connect.NewResponse(catalogue.EntryToProto(ent)), nil
}

// List implements callerpb.CatalogueServiceHandler.
func (svc *CatalogueService) List(_ context.Context, req *connect.Request[callerpb.ListRequest]) (*connect.Response[callerpb.ListResponse], error) {
	who, err := identify(svc.auth, req.Header().Get(headerAuthorization))
	if err != nil {
		return nil, ToConnectError(err)
	}
	ents, off := svc.cat.Entries()
	res := &callerpb.ListResponse{Offset: off}
	for _, ent := range ents {
		if ent.Owner() == who.Partner() {
			res.Entries = append(res.Entries, catalogue.EntryToProto(ent))
		}
	}
	return connect.NewResponse(res), nil
}

// Log implements callerpb.CatalogueServiceHandler.
func (svc *CatalogueService) Log(_ context.Context, req *connect.Request[callerpb.LogRequest]) (*connect.Response[callerpb.LogResponse], error) {
	who, err := identify(svc.auth, req.Header().Get(headerAuthorization))
	if err != nil {
		return nil, ToConnectError(err)
	}
	lim := int(req.Msg.GetLimit())
	if lim == 0 {
		lim = defaultLoggedEdits
	}
	edts, earliest := svc.cat.Edits(who.Partner(), req.Msg.GetFrom(), min(lim, maxLoggedEdits))
	return connect.NewResponse(&callerpb.LogResponse{Edits: edts, Earliest: earliest}), nil
}
