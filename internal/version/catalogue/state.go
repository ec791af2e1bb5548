package catalogue

import (
	"maps"
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/request/job"
)

// State is the catalogue after the records up to an offset. It is not safe for concurrent use.
type State struct {
	offset  uint64
	entries map[string]Entry
	tokens  map[string]Token
}

// New returns the state before the first record.
func New() *State {
	return &State{entries: make(map[string]Entry), tokens: make(map[string]Token)}
}

// Clone returns a copy that later records do not change; entries are immutable and shared.
func (sta *State) Clone() *State {
	return &State{offset: sta.offset, entries: maps.Clone(sta.entries), tokens: maps.Clone(sta.tokens)}
}

// Offset returns the offset of the last record that was applied; 0 if there was none.
func (sta *State) Offset() uint64 { return sta.offset }

// Apply takes the record at an offset in. Offsets must grow, which is what keeps a reader that is
// handed an old page or an old snapshot from going back; the outcome of others is ReasonStale.
func (sta *State) Apply(offset uint64, rec Record) Outcome {
	out := Outcome{Offset: offset, Record: rec.ID}
	if offset == 0 {
		out.Reason = ReasonOffset
		return out
	}
	if offset <= sta.offset {
		out.Reason = ReasonStale
		return out
	}
	sta.offset = offset
	switch {
	case rec.Edit != nil:
		sta.applyEdit(&out, rec.Author, *rec.Edit)
	case rec.Token != nil:
		sta.applyToken(&out, rec.Author, *rec.Token)
	case rec.Chunk != nil:
		out.Reason = ReasonNoEdit
	default:
		out.Reason = ReasonUnreadable
	}
	out.Accepted = out.Reason == ReasonNone
	return out
}

func (sta *State) applyEdit(out *Outcome, aut Author, ent Entry) {
	out.Name = ent.Name()
	cur, known := sta.entries[ent.Name()]
	if aut.Partner != ent.Owner() || known && cur.Owner() != aut.Partner {
		out.Reason = ReasonNotOwner
		return
	}
	if prs := Validate(ent); len(prs) > 0 {
		out.Reason = ReasonInvalid
		out.Detail = joinProblems(prs)
		return
	}
	var ver uint64
	if known {
		ver = cur.Version()
	}
	if ent.Version() != ver {
		out.Reason = ReasonConflict
		out.Conflict = ver
		return
	}
	// A deleted entry keeps its version: without it, a late copy of the edit that first made the
	// entry, which is based on version 0, would bring the entry back.
	sta.entries[ent.Name()] = ent.at(out.Offset)
}

func (sta *State) applyToken(out *Outcome, aut Author, tok Token) {
	out.Name = tok.Name
	cur := sta.tokens[tok.Name]
	if aut.Partner != tok.Partner {
		out.Reason = ReasonNotOwner
		return
	}
	if prs := ValidateToken(tok); len(prs) > 0 {
		out.Reason = ReasonInvalid
		out.Detail = joinProblems(prs)
		return
	}
	if tok.Version != cur.Version {
		out.Reason = ReasonConflict
		out.Conflict = cur.Version
		return
	}
	tok.Version = out.Offset
	sta.tokens[tok.Name] = tok
}

// ValidateToken returns everything that is wrong with a token.
func ValidateToken(tok Token) []Problem {
	var prs problems
	prs.check(namePattern.MatchString(tok.Name) && len(tok.Name) <= MaxNameLength, "name",
		"%q is not PARTNER/NAME in kebab case", tok.Name)
	own, _, _ := strings.Cut(tok.Name, "/")
	prs.check(own == string(tok.Partner), "partner", "%q does not own the name %q", tok.Partner, tok.Name)
	prs.check(tok.Role == RoleCaller || tok.Role == RoleOperator, "role", "%q is neither caller nor operator", tok.Role)
	return prs
}

func joinProblems(prs []Problem) string {
	txt := make([]string, len(prs))
	for idx, prb := range prs {
		txt[idx] = prb.String()
	}
	return strings.Join(txt, "; ")
}

// Entry returns the current version of an entry, which may be a deletion.
func (sta *State) Entry(name string) (Entry, bool) {
	ent, ok := sta.entries[name]
	return ent, ok
}

// Class returns what governs an entry now, or nil; it is shared and must not be changed.
func (sta *State) Class(name string) *job.Class {
	ent, ok := sta.entries[name]
	if !ok || ent.deleted {
		return nil
	}
	return ent.class
}

// Classes returns what governs now, by name.
func (sta *State) Classes() []*job.Class {
	var cls []*job.Class
	for _, ent := range sta.List() {
		cls = append(cls, ent.class)
	}
	return cls
}

// List returns the entries in force, by name.
func (sta *State) List() []Entry {
	var ens []Entry
	for _, nam := range slices.Sorted(maps.Keys(sta.entries)) {
		if ent := sta.entries[nam]; !ent.deleted {
			ens = append(ens, ent)
		}
	}
	return ens
}

// Tokens returns the tokens that count at a time, by name.
func (sta *State) Tokens(now time.Time) []Token {
	var tks []Token
	for _, nam := range slices.Sorted(maps.Keys(sta.tokens)) {
		if tok := sta.tokens[nam]; tok.Counts(now) {
			tks = append(tks, tok)
		}
	}
	return tks
}

// Token returns the current version of a token, which may be revoked or expired.
func (sta *State) Token(name string) (Token, bool) {
	tok, ok := sta.tokens[name]
	return tok, ok
}

// Counts reports whether the token is in force at a time.
func (tok Token) Counts(now time.Time) bool {
	return !tok.Revoked && (tok.Expiry.IsZero() || now.Before(tok.Expiry))
}
