package node

import (
	"context"
	"time"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/service"
)

type openAdmitter struct{}

func (openAdmitter) Admit(context.Context, caller.Work) (func(), error) { return func() {}, nil }
func (openAdmitter) Retry(string) bool                                  { return true }

type localClaimer struct{}

func (localClaimer) Claim(context.Context, caller.ClaimedCall) (caller.Claim, *service.Answer, error) {
	return nil, nil, apierr.New(apierr.Unavailable, "claims are not available", apierr.NotRun(), apierr.RetryAfter(time.Second))
}

type noMeter struct{}

func (noMeter) Count(context.Context, string, int, int, int) {}

type noObserver struct{}

func (noObserver) Observe(caller.Observation) {}

type openGate struct{}

func (openGate) Check() error { return nil }
