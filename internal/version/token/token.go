package token

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"
	"time"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
)

// secretSize is the length of a secret in bytes, before it is encoded.
const secretSize = 32

// maxLength bounds the tokens that are hashed at all.
const maxLength = 512

// Identity is who shows a token.
type Identity struct {
	name    string
	partner job.Partner
	role    catalogue.Role
}

// Name returns the name of the token.
func (idn Identity) Name() string { return idn.name }

// Partner returns the partner that the holder acts for.
func (idn Identity) Partner() job.Partner { return idn.partner }

// Operator reports whether the holder may edit the partner's catalogue entries and tokens.
func (idn Identity) Operator() bool { return idn.role == catalogue.RoleOperator }

// Author returns what the holder's records are signed with.
func (idn Identity) Author() catalogue.Author {
	return catalogue.Author{Name: idn.name, Partner: idn.partner}
}

// Source has the tokens of the catalogue, by name.
type Source interface {
	Token(name string) (catalogue.Token, bool)
}

// Authenticator tells identities by the catalogue's tokens, and by those of the settings that the
// first operators start with.
type Authenticator struct {
	source   Source
	settings map[string]catalogue.Token
	now      func() time.Time
}

// New returns an authenticator. A token of the settings counts only while the catalogue has no
// record of that name, so that it can be revoked and rotated without a restart.
func New(src Source, settings []catalogue.Token, now func() time.Time) *Authenticator {
	atr := &Authenticator{source: src, settings: make(map[string]catalogue.Token, len(settings)), now: now}
	for _, tok := range settings {
		atr.settings[tok.Name] = tok
	}
	return atr
}

// Authenticate returns who holds a token.
//
// The name is no secret, so it may be looked up. The hash is compared in constant time, and for an
// unknown name too: the time of an answer tells neither how much of a secret was right nor whether
// a name exists.
func (atr *Authenticator) Authenticate(token string) (Identity, bool) {
	if len(token) > maxLength {
		return Identity{}, false
	}
	nam, _, _ := strings.Cut(token, ".")
	rec, known := atr.find(nam)
	hsh := Hash(token)
	same := subtle.ConstantTimeCompare(hsh[:], rec.Hash[:]) == 1
	if !known || !same || !rec.Counts(atr.now()) {
		return Identity{}, false
	}
	return Identity{name: rec.Name, partner: rec.Partner, role: rec.Role}, true
}

func (atr *Authenticator) find(name string) (catalogue.Token, bool) {
	if rec, ok := atr.source.Token(name); ok {
		return rec, true
	}
	rec, ok := atr.settings[name]
	return rec, ok
}

// Hash returns what is kept of a token. A plain hash is enough, since secrets are drawn from 256
// bits and not chosen by people.
func Hash(token string) [catalogue.HashSize]byte { return sha256.Sum256([]byte(token)) }

// Generate returns a new token of that name; whoever makes it sees it this once.
func Generate(name string) string {
	var sec [secretSize]byte
	_, _ = rand.Read(sec[:])
	return name + "." + base64.RawURLEncoding.EncodeToString(sec[:])
}
