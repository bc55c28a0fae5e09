// Package load is an open-loop load generator: it sends requests to nodes at
// scheduled times without waiting for earlier responses, and measures latency
// and goodput.
package load

import (
	"fmt"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
)

// Scenario describes one run.
type Scenario struct {
	// Seed determines the arrivals: equal seeds give equal requests at equal
	// times.
	Seed uint64 `json:"seed"`
	// TimeScale divides all durations and multiplies all rates; with 10, an hour
	// takes six minutes. 0 means 1.
	TimeScale float64 `json:"time_scale,omitempty"`
	// Nodes are the addresses of the nodes' caller listeners, as IP:port.
	Nodes []string `json:"nodes"`
	// Model is the model of the chat requests.
	Model      string            `json:"model"`
	Objectives config.Objectives `json:"objectives"`
	Workspaces []Workspace       `json:"workspaces"`
	Phases     []Phase           `json:"phases"`
	Calls      Calls             `json:"calls"`
	// RequestTimeoutSeconds is the time after which a caller cancels its request.
	RequestTimeoutSeconds float64 `json:"request_timeout_s"`
}

// Workspace is one source of load.
type Workspace struct {
	Name string `json:"name"`
	// Key is a key of the workspace. It may be omitted if a key file is given.
	Key string `json:"key,omitempty"`
	// Weight is the workspace's weight in the configuration, from which the fair
	// shares are computed.
	Weight float64 `json:"weight"`
	// RatePerSecond is the mean rate of chat requests, per second.
	RatePerSecond float64 `json:"rate_per_s"`
	// Prefixes is the number of shared prompt prefixes; PrefixTokens is the length
	// of each.
	Prefixes     int `json:"prefixes,omitempty"`
	PrefixTokens int `json:"prefix_tokens,omitempty"`
}

// Phase is a part of the run with constant rates, prompt lengths and output
// lengths.
type Phase struct {
	Name            string  `json:"name"`
	DurationSeconds float64 `json:"duration_s"`
	// PromptTokens and OutputTokens are means; the values of single requests vary
	// between 0.5 and 1.5 times the mean.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// RateFactor multiplies the rates of all workspaces; 0 means 1.
	RateFactor float64 `json:"rate_factor,omitempty"`
}

// Calls configures calls to a plain service that must not run twice.
type Calls struct {
	Service       string  `json:"service,omitempty"`
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	// RepeatRatio is the ratio of calls, from 0 to 1, that the caller also sends
	// through another node at the same time, with the same idempotency key.
	RepeatRatio float64 `json:"repeat_ratio,omitempty"`
}

// Validate adds a finding for every field that makes the scenario impossible to
// run.
func (s *Scenario) Validate(findings *finding.List) {
	if s.TimeScale < 0 {
		findings.Addf("$.time_scale", "must not be negative")
	}
	if len(s.Nodes) == 0 {
		findings.Addf("$.nodes", "at least one address is needed")
	}
	for i, address := range s.Nodes {
		if err := config.CheckAddress(address); err != nil {
			findings.Addf(fmt.Sprintf("$.nodes[%d]", i), "%v", err)
		}
	}
	if s.Model == "" {
		findings.Addf("$.model", "must not be empty")
	}
	if s.Objectives.FirstTokenSeconds <= 0 || s.Objectives.BetweenTokensSeconds <= 0 {
		findings.Addf("$.objectives", "first_token_s and between_tokens_s must be greater than 0")
	}
	if s.RequestTimeoutSeconds <= 0 {
		findings.Addf("$.request_timeout_s", "must be greater than 0")
	}
	s.validateTraffic(findings)
}

func (s *Scenario) validateTraffic(findings *finding.List) {
	if len(s.Workspaces) == 0 {
		findings.Addf("$.workspaces", "at least one workspace is needed")
	}
	for i, w := range s.Workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		if w.Name == "" || w.Weight <= 0 || w.RatePerSecond < 0 {
			findings.Addf(path, "a name, a weight greater than 0 and a rate of at least 0 are needed")
		}
		if w.Key == "" {
			findings.Addf(path+".key", "must not be empty unless a file of keys names the workspace")
		}
	}
	if len(s.Phases) == 0 {
		findings.Addf("$.phases", "at least one phase is needed")
	}
	for i, p := range s.Phases {
		if p.Name == "" || p.DurationSeconds <= 0 || p.PromptTokens <= 0 || p.OutputTokens <= 0 {
			findings.Addf(fmt.Sprintf("$.phases[%d]", i), "a name, a duration, prompt_tokens and output_tokens greater than 0 are needed")
		}
	}
	if s.Calls.RatePerSecond > 0 && s.Calls.Service == "" {
		findings.Addf("$.calls.service", "must not be empty where rate_per_s is set")
	}
	if s.Calls.RepeatRatio < 0 || s.Calls.RepeatRatio > 1 {
		findings.Addf("$.calls.repeat_ratio", "must be between 0 and 1")
	}
}

func (s *Scenario) timeScale() float64 {
	if s.TimeScale == 0 {
		return 1
	}
	return s.TimeScale
}
