package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/burn"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
)

// BurnServer implements BurnService with the series of a recorder.
type BurnServer struct {
	recorder *burn.Recorder
}

var _ figweirv1connect.BurnServiceHandler = (*BurnServer)(nil)

// NewBurnServer returns a handler that reads from recorder.
func NewBurnServer(recorder *burn.Recorder) *BurnServer { return &BurnServer{recorder: recorder} }

// NewBurnServiceHandler returns the path and the HTTP handler of BurnService for
// a recorder.
func NewBurnServiceHandler(recorder *burn.Recorder, options ...connect.HandlerOption) (string, http.Handler) {
	options = append(options, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxQueryBytes))
	return figweirv1connect.NewBurnServiceHandler(NewBurnServer(recorder), options...)
}

// Collect implements figweirv1connect.BurnServiceHandler. The error is always
// nil.
func (s *BurnServer) Collect(context.Context, *figweirv1.CollectBurnRequest) (*figweirv1.CollectBurnResponse, error) {
	series := s.recorder.Series(time.Now())
	response := &figweirv1.CollectBurnResponse{Series: make([]*figweirv1.BurnSeries, len(series))}
	for i, in := range series {
		out := &figweirv1.BurnSeries{Workspace: in.Workspace, Service: in.Service}
		for w, c := range in.Counts {
			out.Windows = append(out.Windows, &figweirv1.BurnWindow{
				Seconds: uint32(burn.Windows[w].Seconds()), Good: c.Good, Bad: c.Bad,
			})
		}
		response.Series[i] = out
	}
	return response, nil
}

// CollectBurn returns the series of the node at baseURL, or the error of the
// call. Windows unknown to this version are ignored.
func CollectBurn(ctx context.Context, httpClient connect.HTTPClient, baseURL string, options ...connect.ClientOption) ([]burn.Series, error) {
	client := figweirv1connect.NewBurnServiceClient(httpClient, baseURL, options...)
	response, err := client.Collect(ctx, &figweirv1.CollectBurnRequest{})
	if err != nil {
		return nil, err
	}
	series := make([]burn.Series, len(response.GetSeries()))
	for i, in := range response.GetSeries() {
		series[i] = burn.Series{Workspace: in.GetWorkspace(), Service: in.GetService()}
		for _, window := range in.GetWindows() {
			for w, length := range burn.Windows {
				if uint32(length.Seconds()) == window.GetSeconds() {
					series[i].Counts[w] = burn.Counts{Good: window.GetGood(), Bad: window.GetBad()}
				}
			}
		}
	}
	return series, nil
}
