package peer

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/once"
)

// OnceServer implements OnceService with the range writers of this node.
type OnceServer struct {
	locate once.Locator
}

var _ figweirv1connect.OnceServiceHandler = (*OnceServer)(nil)

// NewOnceServer returns a server that calls the writers returned by local. local
// must return only writers of this process, so that nodes never forward a request
// in a loop.
func NewOnceServer(local once.Locator) *OnceServer { return &OnceServer{locate: local} }

// Claim implements figweirv1connect.OnceServiceHandler. The state REFUSED means
// that the claim was not recorded. After an error it may have been recorded.
func (s *OnceServer) Claim(ctx context.Context, m *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	key, keyErr := once.ParseID[once.Key](m.Key)
	body, bodyErr := once.ParseID[once.Digest](m.BodyDigest)
	token, tokenErr := once.ParseID[once.Token](m.Token)
	if err := errors.Join(keyErr, bodyErr, tokenErr); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	handle := s.locate(once.Range(m.Range))
	if handle == nil {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_REFUSED}, nil
	}
	response, err := handle.Claim(ctx, once.ClaimRequest{
		Range: once.Range(m.Range), Key: key, BodyDigest: body, Owner: m.Owner, Token: token,
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	state, ok := protoStates[response.State]
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("claim answered with %v", response.State))
	}
	return &pb.ClaimResponse{State: state, Outcome: encodeOutcome(response.Outcome)}, nil
}

// Finish implements figweirv1connect.OnceServiceHandler. For the error codes see
// toConnectError.
func (s *OnceServer) Finish(ctx context.Context, m *pb.FinishRequest) (*pb.FinishResponse, error) {
	key, keyErr := once.ParseID[once.Key](m.Key)
	token, tokenErr := once.ParseID[once.Token](m.Token)
	if err := errors.Join(keyErr, tokenErr); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	request := once.FinishRequest{Range: once.Range(m.Range), Key: key, Token: token, Settlement: once.Lost}
	switch {
	case m.Released && m.Outcome != nil:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a released claim has no outcome"))
	case m.Released:
		request.Settlement = once.Released
	case m.Outcome != nil:
		request.Settlement, request.Outcome = once.Finished, decodeOutcome(m.Outcome)
	}
	handle := s.locate(request.Range)
	if handle == nil {
		return nil, toConnectError(once.ErrNotRecorded)
	}
	if err := handle.Finish(ctx, request); err != nil {
		return nil, toConnectError(err)
	}
	return &pb.FinishResponse{}, nil
}

// OnceClient implements once.Handle with the range writers of another node.
type OnceClient struct {
	client figweirv1connect.OnceServiceClient
}

var _ once.Handle = (*OnceClient)(nil)

// NewOnceClient returns a client for the peer at baseURL.
func NewOnceClient(httpClient connect.HTTPClient, baseURL string, options ...connect.ClientOption) *OnceClient {
	return &OnceClient{client: figweirv1connect.NewOnceServiceClient(httpClient, baseURL, options...)}
}

// Claim implements once.Handle. Every failure of the transport is returned as an
// error, so that the claimer releases the claim.
func (c *OnceClient) Claim(ctx context.Context, request once.ClaimRequest) (once.ClaimResponse, error) {
	m, err := c.client.Claim(ctx, &pb.ClaimRequest{
		Range: uint32(request.Range), Key: request.Key.String(), BodyDigest: request.BodyDigest.String(),
		Owner: request.Owner, Token: request.Token.String(),
	})
	if err != nil {
		return once.ClaimResponse{}, fromConnectError(err)
	}
	state, ok := claimStates[m.State]
	if !ok || state != once.Done && m.Outcome != nil {
		return once.ClaimResponse{}, fmt.Errorf("%w: response in state %v", once.ErrNoResponse, m.State)
	}
	return once.ClaimResponse{State: state, Outcome: decodeOutcome(m.Outcome)}, nil
}

// Finish implements once.Handle. For the errors see fromConnectError.
func (c *OnceClient) Finish(ctx context.Context, request once.FinishRequest) error {
	_, err := c.client.Finish(ctx, &pb.FinishRequest{
		Range: uint32(request.Range), Key: request.Key.String(), Token: request.Token.String(),
		Released: request.Settlement == once.Released, Outcome: encodeOutcome(request.Outcome),
	})
	if err != nil {
		return fromConnectError(err)
	}
	return nil
}

// protoStates maps claim states to their values on the wire.
var protoStates = map[once.State]pb.ClaimState{
	once.Refused:    pb.ClaimState_CLAIM_STATE_REFUSED,
	once.Granted:    pb.ClaimState_CLAIM_STATE_GRANTED,
	once.InProgress: pb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	once.Done:       pb.ClaimState_CLAIM_STATE_DONE,
	once.Unknown:    pb.ClaimState_CLAIM_STATE_UNKNOWN,
	once.KeyReused:  pb.ClaimState_CLAIM_STATE_KEY_REUSED,
}

// claimStates is the inverse of protoStates.
var claimStates = invert(protoStates)

// invert returns the inverse of a map.
func invert(m map[once.State]pb.ClaimState) map[pb.ClaimState]once.State {
	out := make(map[pb.ClaimState]once.State, len(m))
	for state, message := range m {
		out[message] = state
	}
	return out
}

// toConnectError maps each error that is final for a settlement to its own code.
// A transport never generates these codes itself for a unary request.
func toConnectError(err error) error {
	switch {
	case errors.Is(err, once.ErrNotClaimed):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, once.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, once.ErrNotRecorded):
		return connect.NewError(connect.CodeAborted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

// fromConnectError maps the error of a call to an error of package once. Only an
// error that the server sent is final; an error response of an intermediary, such
// as a proxy, is mapped to once.ErrNoResponse.
func fromConnectError(err error) error {
	if connect.IsWireError(err) {
		switch connect.CodeOf(err) {
		case connect.CodeFailedPrecondition:
			return fmt.Errorf("%w: %w", once.ErrNotClaimed, err)
		case connect.CodeInvalidArgument:
			return fmt.Errorf("%w: %w", once.ErrInvalid, err)
		case connect.CodeAborted:
			return fmt.Errorf("%w: %w", once.ErrNotRecorded, err)
		}
	}
	return fmt.Errorf("%w: %w", once.ErrNoResponse, err)
}

func encodeOutcome(o *once.Outcome) *pb.Outcome {
	if o == nil {
		return nil
	}
	return &pb.Outcome{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDigest: o.BodyDigest, Truncated: o.Truncated}
}

func decodeOutcome(o *pb.Outcome) *once.Outcome {
	if o == nil {
		return nil
	}
	return &once.Outcome{Status: int(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDigest: o.BodyDigest, Truncated: o.Truncated}
}
