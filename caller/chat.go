package caller

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/sjson"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
)

const (
	// defaultMaxTokens is assumed where the caller sets no limit.
	defaultMaxTokens = 512
	// bytesPerToken estimates the tokens of a prompt before an engine counts them.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the hashes computed for one prompt.
	maxPrefixBlocks = 256
	// seedBits keeps seeds within what every client library can represent.
	seedBits = 31
)

// chatRequest is what a node reads of a request in the chat-completions
// format. Everything else is passed on as it came.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Seed                *int64          `json:"seed"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	s, err := h.begin(w, r, false)
	if err != nil {
		h.refuse(w, err)
		return
	}
	raw, err := h.readBody(w, r, s)
	if err != nil {
		h.reject(w, s, "", err)
		return
	}
	req, err := parseChat(raw)
	if err != nil {
		h.reject(w, s, "", err)
		return
	}
	pool := s.snapshot.PoolForModel(req.Model)
	if pool == nil {
		h.reject(w, s, "", apierr.New(apierr.NotFound, "there is no such model", apierr.NotRun()))
		return
	}
	body, err := upstreamBody(raw, req, s.id)
	if err != nil {
		h.reject(w, s, req.Model, err)
		return
	}
	h.runChat(w, r, s, pool, req, body)
}

func (h *Handler) runChat(w http.ResponseWriter, r *http.Request, s *session, pool *config.Pool, req *chatRequest, body []byte) {
	ctx, cancel := h.requestContext(r)
	defer cancel()
	work := newWork(s, pool, req)
	work.Deadline, _ = ctx.Deadline()
	admission, err := h.Admitter.Admit(ctx, work)
	if err != nil {
		h.reject(w, s, req.Model, err)
		return
	}
	run := &chatRun{
		handler: h, session: s, pool: pool, work: work, body: body, admission: admission,
		out: newSink(w, s.id, req, h.options.WriteTimeout),
	}
	defer func() { admission.Done(work.PromptTokens, len(run.sent)) }()
	if err := h.recheck(s); err != nil {
		h.reject(w, s, req.Model, err)
		return
	}
	run.execute(ctx)
}

func parseChat(raw []byte) (*chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, apierr.Wrap(err, apierr.BadRequest, "the body is not a chat-completions request: "+err.Error(), apierr.NotRun())
	}
	switch {
	case req.Model == "":
		return nil, apierr.New(apierr.BadRequest, "model is missing", apierr.NotRun())
	case len(req.Messages) == 0 || req.Messages[0] != '[':
		return nil, apierr.New(apierr.BadRequest, "messages must be an array", apierr.NotRun())
	case req.MaxTokens < 0 || req.MaxCompletionTokens < 0:
		return nil, apierr.New(apierr.BadRequest, "max_tokens must not be negative", apierr.NotRun())
	case req.N != nil && *req.N != 1:
		return nil, apierr.New(apierr.BadRequest, "n must be 1", apierr.NotRun())
	}
	return &req, nil
}

// upstreamBody makes the engine stream its answer with token counts, whatever
// the caller asked for, and pins the seed so that a re-run gives the same text.
func upstreamBody(raw []byte, req *chatRequest, requestID string) ([]byte, error) {
	body, err := sjson.SetBytes(raw, "stream", true)
	if err == nil {
		body, err = sjson.SetBytes(body, "stream_options.include_usage", true)
	}
	if err == nil && req.Seed == nil {
		body, err = sjson.SetBytes(body, "seed", xxhash.Sum64String(requestID)>>(64-seedBits))
	}
	if err != nil {
		return nil, apierr.Wrap(err, apierr.BadRequest, "the body can't be changed for the engine", apierr.NotRun())
	}
	return body, nil
}

func newWork(s *session, pool *config.Pool, req *chatRequest) Work {
	output := req.MaxCompletionTokens
	if output == 0 {
		output = req.MaxTokens
	}
	if output == 0 {
		output = defaultMaxTokens
	}
	return Work{
		Request: s.id, Workspace: s.workspace.Name, Pool: pool, Service: req.Model,
		FirstTokenBy: s.start.Add(firstTokenPatience(s.snapshot.Document.Objectives)),
		PromptTokens: len(req.Messages)/bytesPerToken + 1, MaxOutputTokens: output,
		PrefixBlocks: prefixBlocks(s.workspace.Name, req, pool.KVBlockTokens),
	}
}

// patienceFactor is how many times the objective for the first token a request
// may take to get it. After that its caller is better served by a refusal.
const patienceFactor = 10

func firstTokenPatience(o config.Objectives) time.Duration {
	return time.Duration(patienceFactor * o.FirstTokenSeconds * float64(time.Second))
}

// prefixBlocks hashes the prompt in blocks; each hash covers all that precedes
// it. The workspace is part of the hash, so that what one workspace has cached
// never shows in another's placement.
func prefixBlocks(workspace string, req *chatRequest, blockTokens int) []uint64 {
	size := max(1, blockTokens) * bytesPerToken
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "\x00" + req.Model + "\x00")
	var out []uint64
	for rest := []byte(req.Messages); len(rest) >= size && len(out) < maxPrefixBlocks; rest = rest[size:] {
		_, _ = h.Write(rest[:size])
		out = append(out, h.Sum64())
	}
	return out
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	s, err := h.begin(w, r, false)
	if err != nil {
		h.refuse(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, pool := range s.snapshot.Document.Pools {
		for _, model := range pool.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: pool.Name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return strings.Compare(list.Data[i].ID, list.Data[j].ID) < 0 })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
