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
	// defaultMaxTokens is the assumed output length if the caller sets no limit.
	defaultMaxTokens = 512
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = 4
	// maxPrefixBlocks limits the hashes computed for one prompt.
	maxPrefixBlocks = 256
	// seedBits limits seeds to values that every client library can represent.
	seedBits = 31
)

// chatRequest contains the fields of a chat-completions request that the node
// reads. All other fields are forwarded unchanged.
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

// handleChat handles a chat-completions request.
func (h *Handler) handleChat(w http.ResponseWriter, r *http.Request) {
	s, err := h.beginSession(w, r, false)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	raw, release, err := h.readBody(w, r, s)
	defer release()
	if err != nil {
		h.refuseRequest(w, s, "", err)
		return
	}
	req, err := parseChat(raw)
	if err != nil {
		h.refuseRequest(w, s, "", err)
		return
	}
	pool := s.snapshot.PoolForModel(req.Model)
	if pool == nil {
		h.refuseRequest(w, s, "", apierr.New(apierr.NotFound, "there is no such model", apierr.NotRun()))
		return
	}
	body, err := upstreamBody(raw, req, s.id)
	if err != nil {
		h.refuseRequest(w, s, req.Model, err)
		return
	}
	h.runChat(w, r, s, pool, req, body)
}

// runChat admits a parsed request and runs it.
func (h *Handler) runChat(w http.ResponseWriter, r *http.Request, s *session, pool *config.Pool, req *chatRequest, body []byte) {
	ctx, cancel := h.requestContext(r)
	defer cancel()
	info := newRequestInfo(s, pool, req)
	info.Deadline, _ = ctx.Deadline()
	admission, err := h.Admitter.Admit(ctx, info)
	if err != nil {
		h.refuseRequest(w, s, req.Model, err)
		return
	}
	run := &chatRun{
		handler: h, session: s, pool: pool, info: info, body: body, admission: admission,
		writer: newAnswerWriter(w, s.id, req, h.options.WriteTimeout, h.AnswerMemory), parts: sharedParts(req),
	}
	defer func() { admission.Done(info.PromptTokens, len(run.sentHashes)) }()
	if err := h.recheckKey(s); err != nil {
		h.refuseRequest(w, s, req.Model, err)
		return
	}
	s.endDecoding()
	run.execute(ctx)
}

// parseChat decodes and validates a request. Its errors are from apierr.
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

// upstreamBody returns the body to be sent to the engine. It always requests a
// stream with token counts. If the caller set no seed, it sets one derived from
// the request ID, so that a re-run generates the same text.
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

// newRequestInfo describes a chat request. The deadline is not set.
func newRequestInfo(s *session, pool *config.Pool, req *chatRequest) RequestInfo {
	output := req.MaxCompletionTokens
	if output == 0 {
		output = req.MaxTokens
	}
	if output == 0 {
		output = defaultMaxTokens
	}
	return RequestInfo{
		RequestID: s.id, Workspace: s.workspace.Name, Pool: pool, Service: req.Model,
		FirstTokenBy: s.startedAt.Add(firstTokenTimeout(s.snapshot.Document.Objectives)),
		PromptTokens: len(req.Messages)/bytesPerToken + 1, MaxOutputTokens: output,
		PrefixBlocks: prefixBlocks(s.workspace.Name, req, pool.KVBlockTokens),
	}
}

// firstTokenTimeoutFactor times the objective for the first token is how long a
// request may wait for its first token. After that, a refusal is more useful to
// the caller.
const firstTokenTimeoutFactor = 10

// firstTokenTimeout returns the time from the start of a request to the deadline
// for its first token.
func firstTokenTimeout(o config.Objectives) time.Duration {
	return time.Duration(firstTokenTimeoutFactor * o.FirstTokenSeconds * float64(time.Second))
}

// prefixBlocks hashes the prompt in blocks. Each hash covers the block and
// everything before it. The workspace is part of the hash, so that the cached
// prefixes of one workspace never influence the routing of another one.
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

// modelList is the response of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models of all pools.
func (h *Handler) handleModels(w http.ResponseWriter, r *http.Request) {
	s, err := h.beginSession(w, r, false)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, pool := range s.snapshot.Document.Pools {
		for _, model := range pool.Models {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: pool.Name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return strings.Compare(list.Data[i].ID, list.Data[j].ID) < 0 })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
