package once

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	pb "github.com/figweir/figweir/gen/figweir/v1"
)

const layoutKey = "once/layout"

func headKey(r Range) string { return "once/" + strconv.FormatUint(uint64(r), 10) + "/head" }

func segmentKey(r Range, number uint64) string {
	return "once/" + strconv.FormatUint(uint64(r), 10) + "/segment/" + strconv.FormatUint(number, 10)
}

// checkEntry rejects entries with fields of unexpected size, so that a damaged
// record is never treated as a missing claim.
func checkEntry(e *pb.OnceEntry) error {
	if len(e.Key) != len(Key{}) || len(e.Token) != len(Token{}) {
		return fmt.Errorf("%w: entry has a key of %d bytes and a token of %d bytes", ErrCorrupt, len(e.Key), len(e.Token))
	}
	switch e.Kind {
	case pb.OnceEntryKind_ONCE_ENTRY_KIND_RELEASE:
		return nil
	case pb.OnceEntryKind_ONCE_ENTRY_KIND_CLAIM, pb.OnceEntryKind_ONCE_ENTRY_KIND_DONE, pb.OnceEntryKind_ONCE_ENTRY_KIND_UNKNOWN:
		if len(e.BodyDigest) != len(Digest{}) {
			return fmt.Errorf("%w: entry has a body digest of %d bytes", ErrCorrupt, len(e.BodyDigest))
		}
		return nil
	default:
		return fmt.Errorf("%w: entry has unknown kind %d", ErrCorrupt, e.Kind)
	}
}

func checkEntries(entries []*pb.OnceEntry) error {
	for _, e := range entries {
		if err := checkEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// decodeHead decodes a stored head. It returns ErrCorrupt if the head is damaged.
func decodeHead(value []byte) (*pb.OnceHead, error) {
	head := &pb.OnceHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, fmt.Errorf("%w: decode head: %v", ErrCorrupt, err)
	}
	if head.Sequence == 0 || len(head.Token) != len(Token{}) {
		return nil, fmt.Errorf("%w: head has no sequence number or no valid token", ErrCorrupt)
	}
	return head, checkEntries(head.Entries)
}

// decodeSegment decodes the segment with the given number. It returns ErrCorrupt
// if the segment is damaged or has another number.
func decodeSegment(value []byte, number uint64) (*pb.OnceSegment, error) {
	segment := &pb.OnceSegment{}
	if err := proto.Unmarshal(value, segment); err != nil {
		return nil, fmt.Errorf("%w: decode segment %d: %v", ErrCorrupt, number, err)
	}
	if segment.Number != number {
		return nil, fmt.Errorf("%w: record of segment %d contains segment number %d", ErrCorrupt, number, segment.Number)
	}
	return segment, checkEntries(segment.Entries)
}

func outcomeToProto(o *Outcome) *pb.Outcome {
	if o == nil {
		return nil
	}
	return &pb.Outcome{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDigest: o.BodyDigest, Truncated: o.Truncated}
}

func outcomeFromProto(o *pb.Outcome) *Outcome {
	if o == nil {
		return nil
	}
	return &Outcome{Status: int(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDigest: o.BodyDigest, Truncated: o.Truncated}
}
