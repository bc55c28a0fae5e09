package demo

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/logging"
	standin "github.com/figweir/figweir/standin/engine"
	"github.com/figweir/figweir/standin/logbuffer"
	"github.com/figweir/figweir/standin/service"
)

// startDeployment starts a deployment with defaults for the fields of o that are 0
// and closes it at the end of the test.
func startDeployment(t *testing.T, o Options) *Deployment {
	t.Helper()
	if o.Nodes == 0 {
		o.Nodes = 2
	}
	if o.Engines == 0 {
		o.Engines = 3
	}
	if o.Services == 0 {
		o.Services = 2
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	d, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	return d
}

// waitForStreams waits until the engines run the given number of streams. It
// fails the test if a request ends earlier.
func waitForStreams(t *testing.T, d *Deployment, streams int, results <-chan error) {
	t.Helper()
	for {
		running := 0
		for _, e := range d.Engines {
			running += e.Running()
		}
		if running >= streams {
			return
		}
		select {
		case err := <-results:
			t.Fatalf("a request ended early: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a kind of request that fails in the demo deployment.
func TestCheckPasses(t *testing.T) {
	is := is.New(t)
	result := startDeployment(t, Options{}).Check(t.Context())
	is.Equal(len(result.Failed), 0) // all requests pass
	is.Equal(result.Sent, result.Passed)
}

// Guards against a deployment that serves by what a restored store has lost or brought back, or that
// runs a call twice whose record is gone. The load: every kind of request through every node, before
// a restore to a copy from before them and after it.
func TestCheckPassesAfterRestore(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{})
	earlier := d.Platform.Store.Copy()
	before := d.Check(t.Context())
	d.Platform.Store.Restore(earlier)
	result := d.Check(t.Context())
	t.Log(before.Failed, result.Failed)
	is.Equal(len(result.Failed), 0) // all requests pass
	is.Equal(result.Sent, before.Sent)
}

// Guards against responses that the OpenAI client library can't parse.
func TestOpenAIClientReadsResponses(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{})
	client := openai.NewClient(option.WithBaseURL(d.CallerURL(0)+"/v1"), option.WithAPIKey(d.Key), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: Model, MaxTokens: openai.Int(9), Seed: openai.Int(3),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("pair round four")},
	}
	want := standin.ExpectedAnswer(Model, "pair round four", 3, 9)

	completion, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, want)
	is.Equal(completion.Usage.CompletionTokens, int64(9))

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(accumulator.AddChunk(stream.Current())) // chunks belong to one response
	}
	is.NoErr(stream.Err())
	is.Equal(accumulator.Choices[0].Message.Content, want)
	is.Equal(accumulator.Usage.CompletionTokens, int64(9))

	withdrawnClient := openai.NewClient(option.WithBaseURL(d.CallerURL(0)+"/v1"), option.WithAPIKey(d.WithdrawnKey), option.WithMaxRetries(0))
	_, err = withdrawnClient.Chat.Completions.New(t.Context(), params)
	var apiErr *openai.Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.StatusCode, http.StatusUnauthorized)
	is.Equal(apiErr.Code, string(apierr.Unauthorized))
}

// Guards against callers that receive truncated, duplicated or foreign output
// when streams are mixed up, repeated, truncated or lost with their engine.
func TestResponsesAreCompleteUnderStreamFaults(t *testing.T) {
	faults := map[string]standin.Faults{
		"crossed":                 {CrossEvery: 2},
		"repeated":                {RepeatEvery: 2},
		"truncated":               {TruncateAfter: 4},
		"crossed and truncated":   {CrossEvery: 1, TruncateAfter: 3},
		"late":                    {LagMillis: 3},
		"refused by the engine":   {RefuseStreams: true},
		"lost with the engine":    {ForgetAfter: 5},
		"repeated and then lost":  {RepeatEvery: 1, ForgetAfter: 1},
		"lost before first token": {ForgetAfter: 0, RefuseStreams: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t, Options{})
			// The third engine has no faults.
			d.Engines[0].SetFaults(fault)
			d.Engines[1].SetFaults(fault)
			var wg sync.WaitGroup
			for n := range 12 {
				wg.Go(func() {
					prompt := fmt.Sprintf("order %d", n)
					text, err := d.Chat(t.Context(), n%2, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: 20, Seed: 1, Stream: n%3 != 0})
					is.NoErr(err)
					is.Equal(text, standin.ExpectedAnswer(Model, prompt, 1, 20))
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a truncated stream that is not resumed although its engine
// could do so. There is only one engine, so that a re-run on another engine
// can't hide the failure.
func TestTruncatedStreamIsResumedOnItsEngine(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Engines: 1})
	d.Engines[0].SetFaults(standin.Faults{TruncateAfter: 4})
	text, err := d.Chat(t.Context(), 1, ChatRequest{Key: d.Key, Prompt: "x", Tokens: 30, Stream: true})
	is.NoErr(err)
	is.Equal(text, standin.ExpectedAnswer(Model, "x", 0, 30))
	for _, attempts := range d.Engines[0].AttemptsByRequest() {
		is.Equal(attempts, 1) // one attempt, resumed
	}
}

// Guards against a stream that ends without an error when no engine can continue
// it.
func TestLostStreamEndsInExplicitError(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Engines: 1})
	d.Engines[0].SetFaults(standin.Faults{ForgetAfter: 3})
	_, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: "x", Tokens: 8, Stream: true})
	var chatErr *ChatError
	is.True(errors.As(err, &chatErr))
	is.Equal(chatErr.Detail.Code, apierr.UpstreamFailed)
	is.True(!chatErr.Detail.NotRun) // the engine ran a part of the request
	is.True(chatErr.Text != "")
}

// Guards against a planned stop of a node that truncates responses, and against
// new requests on a node that is stopping.
func TestPlannedStopCutsNoResponse(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Engine: func(_ int, s *standin.Settings) { s.TokenMillis = 10 }})
	const streams = 10
	errs := make(chan error, streams)
	for n := range streams {
		go func() {
			prompt := fmt.Sprintf("order %d", n)
			text, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: 30, Stream: n%2 == 0})
			if err == nil && text != standin.ExpectedAnswer(Model, prompt, 0, 30) {
				err = fmt.Errorf("response %q is not complete", text)
			}
			errs <- err
		}()
	}
	waitForStreams(t, d, streams, errs)
	stopped := d.BeginStop(0)
	for range streams {
		is.NoErr(<-errs)
	}
	is.NoErr(<-stopped) // the stop reports that no response was truncated
	_, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: "late", Tokens: 1})
	is.True(err != nil)
	d.cancels[0], d.stopResults[0] = func() {}, stoppedResult()
}

// stoppedResult returns a stop result that Close can read a second time.
func stoppedResult() chan error {
	c := make(chan error, 1)
	c <- nil
	return c
}

// Guards against streams that continue after their key was withdrawn, and
// against a withdrawn key that still works on a keep-alive connection.
func TestWithdrawnKeyStopsWorkingOnOpenConnections(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{Engine: func(_ int, s *standin.Settings) { s.TokenMillis = 5 }})
	result := make(chan error, 1)
	go func() {
		_, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: "x", Tokens: 10_000, Stream: true})
		result <- err
	}()
	waitForStreams(t, d, 1, result)
	repository := config.NewRepository(d.Platform.Store)
	document, version, err := repository.Load(t.Context())
	is.NoErr(err)
	for i := range document.Workspaces {
		for j := range document.Workspaces[i].Keys {
			document.Workspaces[i].Keys[j].Withdrawn = true
		}
	}
	_, err = repository.Apply(t.Context(), document, version.Revision, "test")
	is.NoErr(err)
	var chatErr *ChatError
	is.True(errors.As(<-result, &chatErr))
	is.Equal(chatErr.Detail.Code, apierr.Unauthorized)
	_, err = d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: "x", Tokens: 1})
	is.True(errors.As(err, &chatErr))
	is.Equal(chatErr.Status, http.StatusUnauthorized)
}

// Guards against API keys in logs, error messages or requests to backend
// servers.
func TestKeysNeverLeaveTheNode(t *testing.T) {
	is := is.New(t)
	output := &logbuffer.Buffer{}
	d := startDeployment(t, Options{Log: logging.New(output, true)})
	record := func(r *http.Request, body []byte) {
		_ = r.Header.Write(output)
		fmt.Fprintln(output, r.URL.RequestURI(), string(body))
	}
	for _, e := range d.Engines {
		e.OnRequest = record
	}
	for _, s := range d.Services {
		s.OnRequest = record
	}
	header := http.Header{"X-Copy": {"Bearer " + d.Key}, "X-Note": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}
	for i := range d.Nodes {
		_, err := d.Chat(t.Context(), i, ChatRequest{Key: d.Key, Prompt: "x", Tokens: 2})
		is.NoErr(err)
		status, _, err := d.doRequest(t.Context(), i, http.MethodGet, "/services/"+Service+"/a?b=c", d.Key, header, nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		for _, path := range []string{"/services/" + Service + "/?key=" + d.Key, "/services/" + Service + "/" + d.Key} {
			status, body, err := d.doRequest(t.Context(), i, http.MethodGet, path, d.Key, nil, nil)
			is.NoErr(err)
			is.Equal(status, http.StatusBadRequest)
			output.Write(body)
		}
		status, body, err := d.doRequest(t.Context(), i, http.MethodPost, "/v1/chat/completions", d.Key, nil, []byte(`{"model":"`+Model+`","messages":["`+d.Key+`"]}`))
		is.NoErr(err)
		is.Equal(status, http.StatusBadRequest)
		output.Write(body)
		_, err = d.Chat(t.Context(), i, ChatRequest{Key: d.WithdrawnKey, Prompt: "x", Tokens: 2})
		is.True(err != nil)
	}
	allOutput := output.String()
	for _, key := range []string{d.Key, d.SecondKey, d.WithdrawnKey} {
		is.True(!strings.Contains(allOutput, key)) // no key in any output
	}
	is.True(strings.Contains(allOutput, "kept"))          // other headers are forwarded
	is.True(!strings.Contains(allOutput, "X-Hop"))        // hop-by-hop headers are not
	is.True(strings.Contains(allOutput, "X-Workspace"))   // the service receives the workspace
	is.True(strings.Contains(allOutput, "workspace=nor")) // logs name the workspace
}

// Guards against a call that is sent again, or reported as not run, after its
// response was lost.
func TestLostResponseOfServiceIsUnknown(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Options{})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{LoseAnswers: true})
	}
	status, body, err := d.doRequest(t.Context(), 0, http.MethodPost, "/services/"+Service+"/bookings", d.Key, nil, []byte("{}"))
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(string(body), string(apierr.OutcomeUnknown)))
	is.True(strings.Contains(string(body), `"not_run":false`))
	is.Equal(d.Runs.Count(""), 1) // sent once
}
