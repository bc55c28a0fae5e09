package node

import (
	"context"

	"github.com/figweir/figweir/caller"
)

type openAdmitter struct{}

func (openAdmitter) Admit(context.Context, caller.Work) (func(), error) { return func() {}, nil }
func (openAdmitter) Retry(string) bool                                  { return true }

type noMeter struct{}

func (noMeter) Count(context.Context, string, int, int, int) {}

type noObserver struct{}

func (noObserver) Observe(caller.Observation) {}
