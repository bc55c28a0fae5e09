package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
)

// explainChoice answers which server a request would get now, as a backends.Explanation in JSON.
// The query has the host and the path of the request and, for a prompt, its model, the numbers
// prompt_tokens and output_tokens, and parts as "ID:TOKENS,...". service names one of several
// services of the route. Nothing is sent to a server, and no load is counted.
func (g *Gateway) explainChoice(w http.ResponseWriter, r *http.Request) {
	criteria, err := explainedCriteria(g.table.Load(), r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.balancer.Explain(time.Now(), criteria)); err != nil {
		g.log.V(1).Info("cannot write the explanation of a choice", "cause", err.Error())
	}
}

// explainedCriteria returns the criteria of a first attempt at the request that a query describes.
func explainedCriteria(table *core.Table, query url.Values) (*backends.Criteria, error) {
	if table == nil {
		return nil, fmt.Errorf("the node has no configuration")
	}
	route := table.Route(query.Get("host"), query.Get("path"))
	if route == nil {
		return nil, fmt.Errorf("no route for host %q and path %q", query.Get("host"), query.Get("path"))
	}
	service := query.Get("service")
	if service == "" {
		service = route.Targets[0].Service
	}
	prompt, err := explainedPrompt(query)
	if err != nil {
		return nil, err
	}
	criteria := &backends.Criteria{
		Service: service, Prompt: prompt, TimeLeft: route.Timeout, TargetLatency: route.TargetLatency, TargetPause: route.TargetPause,
	}
	if s := table.Services[service]; s != nil && s.Engine != nil {
		criteria.KVTokenBytes, criteria.LinkBitsPerSecond = s.Engine.KVTokenBytes, s.Engine.LinkBitsPerSecond
	}
	return criteria, nil
}

// explainedPrompt returns the prompt that a query describes, or nil if it names no tokens.
func explainedPrompt(query url.Values) (*backends.Prompt, error) {
	if query.Get("prompt_tokens") == "" {
		return nil, nil
	}
	var err error
	tokens := func(s string) int {
		n, parseErr := strconv.ParseUint(s, 10, 24)
		if parseErr != nil && err == nil {
			err = fmt.Errorf("invalid number of tokens %q", s)
		}
		return int(n)
	}
	p := &backends.Prompt{Model: query.Get("model"), Tokens: tokens(query.Get("prompt_tokens"))}
	if output := query.Get("output_tokens"); output != "" {
		p.MaxOutputTokens = tokens(output)
	}
	if parts := query.Get("parts"); parts != "" {
		for _, part := range strings.Split(parts, ",") {
			id, count, _ := strings.Cut(part, ":")
			p.Parts = append(p.Parts, backends.Part{ID: id, Tokens: tokens(count)})
		}
	}
	return p, err
}
