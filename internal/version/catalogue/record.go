package catalogue

import (
	"time"

	"chestnutstack/internal/request/job"
)

// RuleVersion is the version of the rule in State.Apply and Validate. A change of either that would
// accept or reject a record otherwise takes the next number: entry instances are replaced one by
// one, and two that apply different rules to one record would disagree for good.
const RuleVersion = 1

// RecordID names a record; one that was appended twice carries the same id twice.
type RecordID string

// Author is who wrote a record.
type Author struct {
	// Name is that of a token, or of an entry instance.
	Name string
	// Partner is empty for an entry instance.
	Partner job.Partner
}

// Record is one record of the catalogue's stream: an edit, a token or a chunk of a snapshot.
type Record struct {
	ID     RecordID
	Author Author
	Time   time.Time
	// One of these is set.
	Edit  *Entry
	Token *Token
	Chunk *Chunk
}

// Role is what a token allows.
type Role string

const (
	// RoleCaller submits, watches and cancels jobs of its partner.
	RoleCaller Role = "caller"
	// RoleOperator does so too and edits the catalogue entries and tokens of its partner.
	RoleOperator Role = "operator"
)

// HashSize is the length of a token's SHA-256 hash in bytes.
const HashSize = 32

// Token is one version of a token that callers or operators of a partner show.
type Token struct {
	// Name is the partner and a name, such as riga/deckforge.
	Name    string
	Partner job.Partner
	Role    Role
	Hash    [HashSize]byte
	// Expiry is when the token stops counting; zero is never.
	Expiry  time.Time
	Revoked bool
	// Version is as in Entry.
	Version uint64
}

// Reason is why a record was not accepted, in kebab case.
type Reason string

const (
	// ReasonNone goes with an accepted record.
	ReasonNone Reason = ""
	// ReasonConflict means that the record is not based on the current version.
	ReasonConflict Reason = "conflict"
	// ReasonNotOwner means that the author's partner does not own what the record changes.
	ReasonNotOwner Reason = "not-owner"
	// ReasonInvalid means that a value is out of bounds.
	ReasonInvalid Reason = "invalid"
	// ReasonUnreadable means that the record cannot be decoded.
	ReasonUnreadable Reason = "unreadable"
	// ReasonOffset means that the record's offset is 0, which stands for "no version".
	ReasonOffset Reason = "offset-zero"
	// ReasonStale means that the offset was applied before.
	ReasonStale Reason = "stale"
	// ReasonNoEdit means that the record changes nothing by its kind, such as a snapshot.
	ReasonNoEdit Reason = "no-edit"
)

// Outcome is what the rule makes of a record.
type Outcome struct {
	Offset uint64
	Record RecordID
	// Name is that of the entry or token.
	Name     string
	Accepted bool
	Reason   Reason
	// Detail says what is wrong with an invalid record.
	Detail string
	// Conflict is the current version that a conflicting record is not based on.
	Conflict uint64
}
