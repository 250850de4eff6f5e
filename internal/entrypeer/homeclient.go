package entrypeer

import (
	"context"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/peererr"
)

// Claim implements once.HomeClient.
func (c *Client) Claim(ctx context.Context, home fleet.VM, s once.Send) (once.Verdict, once.Answer, error) {
	conn, err := c.conn(home.EntryAddress)
	if err != nil {
		return 0, once.Answer{}, peererr.Wrap(err, "claim", home.Name)
	}
	answer, err := pb.NewEntryClient(conn).Claim(ctx, &pb.ClaimRequest{
		Service: s.Key.Service, Organisation: s.Key.Organisation, Key: s.Key.Key, Scope: pb.KeyScope(s.Key.Scope),
		SendNumber: s.Number, NotRunThrough: s.NotRunThrough, BodyDigest: s.BodyDigest, ClaimId: s.ClaimID,
		Copy: s.Copy, TimeoutMs: uint32(max(0, s.Timeout.Milliseconds())),
	})
	if err != nil {
		return 0, once.Answer{}, peererr.Wrap(err, "claim", home.Name)
	}
	return once.Verdict(answer.GetVerdict()), answerFromProto(answer.GetAnswer()), nil
}

// Complete implements once.HomeClient.
func (c *Client) Complete(ctx context.Context, home fleet.VM, s once.Send, result outcome.Outcome, a once.Answer) error {
	conn, err := c.conn(home.EntryAddress)
	if err != nil {
		return peererr.Wrap(err, "complete", home.Name)
	}
	_, err = pb.NewEntryClient(conn).Complete(ctx, &pb.CompleteRequest{
		Service: s.Key.Service, Organisation: s.Key.Organisation, Key: s.Key.Key, Scope: pb.KeyScope(s.Key.Scope),
		SendNumber: s.Number, BodyDigest: s.BodyDigest, ClaimId: s.ClaimID,
		Outcome: outcomeToProto[result], Answer: answerToProto(a),
	})
	return peererr.Wrap(err, "complete", home.Name)
}

// Lookup implements once.HomeClient.
func (c *Client) Lookup(ctx context.Context, home fleet.VM, s once.Send) (once.Verdict, once.Answer, error) {
	conn, err := c.conn(home.EntryAddress)
	if err != nil {
		return 0, once.Answer{}, peererr.Wrap(err, "lookup", home.Name)
	}
	answer, err := pb.NewEntryClient(conn).Lookup(ctx, &pb.LookupRequest{
		Service: s.Key.Service, Organisation: s.Key.Organisation, Key: s.Key.Key, Scope: pb.KeyScope(s.Key.Scope),
		SendNumber: s.Number, NotRunThrough: s.NotRunThrough, BodyDigest: s.BodyDigest,
	})
	if err != nil {
		return 0, once.Answer{}, peererr.Wrap(err, "lookup", home.Name)
	}
	return once.Verdict(answer.GetVerdict()), answerFromProto(answer.GetAnswer()), nil
}

// HandOver implements once.HandOverClient.
func (c *Client) HandOver(ctx context.Context, to fleet.VM, batch once.HandOverBatch) error {
	conn, err := c.conn(to.EntryAddress)
	if err != nil {
		return peererr.Wrap(err, "hand over", to.Name)
	}
	message := &pb.HandOverRequest{From: batch.From, ListIndex: batch.ListIndex}
	for _, r := range batch.Records {
		message.Records = append(message.Records, recordToProto(r))
	}
	if batch.IsLast {
		message.Coverage = []*pb.Coverage{{Vm: batch.From, CoveredMs: uint64(batch.Covered.Milliseconds())}}
	}
	_, err = pb.NewEntryClient(conn).HandOver(ctx, message)
	return peererr.Wrap(err, "hand over", to.Name)
}

func recordToProto(r once.ExportedRecord) *pb.MemoryRecord {
	return &pb.MemoryRecord{
		Service: r.Send.Key.Service, Organisation: r.Send.Key.Organisation, Key: r.Send.Key.Key,
		Scope: pb.KeyScope(r.Send.Key.Scope), SendNumber: r.Send.Number, BodyDigest: r.Send.BodyDigest,
		ClaimId: r.Send.ClaimID, Copy: r.Send.Copy, TimeoutMs: uint64(max(0, r.Send.Timeout.Milliseconds())),
		Outcome: outcomeToProto[r.Result], Answer: answerToProto(r.Answer), AgeMs: uint64(r.Age.Milliseconds()),
	}
}

// recordFromProto converts a record. A record without an outcome is pending.
func recordFromProto(r *pb.MemoryRecord) once.ExportedRecord {
	e := once.ExportedRecord{
		Send: once.Send{
			Key: keyFromProto(r), Number: r.GetSendNumber(), BodyDigest: r.GetBodyDigest(), ClaimID: r.GetClaimId(),
			Copy: r.GetCopy(), Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		},
		Answer: answerFromProto(r.GetAnswer()), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	if r.GetOutcome() != pb.Outcome_OUTCOME_UNSPECIFIED {
		e.Result = outcomeFromProto(r.GetOutcome())
	}
	return e
}

// keyMessage is a message with the fields of an idempotency key.
type keyMessage interface {
	GetScope() pb.KeyScope
	GetService() string
	GetOrganisation() string
	GetKey() string
}

func keyFromProto(m keyMessage) once.Key {
	return once.Key{
		Scope: once.Scope(m.GetScope()), Service: m.GetService(), Organisation: m.GetOrganisation(), Key: m.GetKey(),
	}
}
