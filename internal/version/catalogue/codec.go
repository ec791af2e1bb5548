package catalogue

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/recordpb"
)

// ErrNewerRule means that a record was written for a later RuleVersion. A reader stops in front of
// it: to go on by the old rule could accept what every newer entry instance rejects.
var ErrNewerRule = errors.New("record needs a newer rule")

// ErrUnreadable means that a record is damaged or of another kind; no reader accepts it.
var ErrUnreadable = errors.New("record cannot be read")

// deterministic makes equal states give equal bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

// Encode returns the bytes that the log keeps of a record.
func Encode(rec Record) ([]byte, error) {
	msg := &recordpb.Record{
		Id:      string(rec.ID),
		Rule:    RuleVersion,
		Author:  rec.Author.Name,
		Partner: string(rec.Author.Partner),
		Time:    timestamppb.New(rec.Time),
	}
	switch {
	case rec.Edit != nil:
		msg.Body = &recordpb.Record_Edit{Edit: &recordpb.Edit{Entry: EntryToProto(*rec.Edit)}}
	case rec.Token != nil:
		msg.Body = &recordpb.Record_Token{Token: tokenToProto(*rec.Token)}
	case rec.Chunk != nil:
		msg.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: chunkToProto(*rec.Chunk)}
	default:
		return nil, errors.New("record without a body")
	}
	dat, err := deterministic.Marshal(msg)
	return dat, errors.Wrap(err, "encode record")
}

// Decode reads what Encode wrote. The error is ErrNewerRule or ErrUnreadable.
func Decode(data []byte) (Record, error) {
	var msg recordpb.Record
	if err := proto.Unmarshal(data, &msg); err != nil {
		return Record{}, errors.Mark(errors.Wrap(err, "decode record"), ErrUnreadable)
	}
	if msg.GetRule() > RuleVersion {
		return Record{}, errors.Wrapf(ErrNewerRule, "rule %d, this instance knows %d", msg.GetRule(), RuleVersion)
	}
	rec := Record{
		ID:     RecordID(msg.GetId()),
		Author: Author{Name: msg.GetAuthor(), Partner: job.Partner(msg.GetPartner())},
		Time:   timeFromProto(msg.GetTime()),
	}
	if err := decodeBody(&rec, &msg); err != nil {
		return Record{}, err
	}
	return rec, nil
}

func decodeBody(rec *Record, msg *recordpb.Record) error {
	switch bdy := msg.GetBody().(type) {
	case *recordpb.Record_Edit:
		ent, err := EntryFromProto(bdy.Edit.GetEntry())
		if err != nil {
			return errors.Mark(err, ErrUnreadable)
		}
		rec.Edit = &ent
	case *recordpb.Record_Token:
		tok, err := tokenFromProto(bdy.Token)
		if err != nil {
			return errors.Mark(err, ErrUnreadable)
		}
		rec.Token = &tok
	case *recordpb.Record_SnapshotChunk:
		chk := chunkFromProto(bdy.SnapshotChunk)
		rec.Chunk = &chk
	default:
		return errors.Wrap(ErrUnreadable, "record is not of the catalogue")
	}
	return nil
}

func tokenToProto(tok Token) *recordpb.Token {
	msg := &recordpb.Token{
		Name:    tok.Name,
		Partner: string(tok.Partner),
		Role:    string(tok.Role),
		Sha256:  tok.Hash[:],
		Revoked: tok.Revoked,
		Version: tok.Version,
	}
	if !tok.Expiry.IsZero() {
		msg.Expiry = timestamppb.New(tok.Expiry)
	}
	return msg
}

func tokenFromProto(msg *recordpb.Token) (Token, error) {
	if len(msg.GetSha256()) != HashSize {
		return Token{}, errors.Newf("token hash has %d bytes, want %d", len(msg.GetSha256()), HashSize)
	}
	return Token{
		Name:    msg.GetName(),
		Partner: job.Partner(msg.GetPartner()),
		Role:    Role(msg.GetRole()),
		Hash:    [HashSize]byte(msg.GetSha256()),
		Expiry:  timeFromProto(msg.GetExpiry()),
		Revoked: msg.GetRevoked(),
		Version: msg.GetVersion(),
	}, nil
}

func timeFromProto(tms *timestamppb.Timestamp) time.Time {
	if tms == nil || tms.CheckValid() != nil {
		return time.Time{}
	}
	return tms.AsTime()
}
