package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/figweir/figweir/route"
)

// Variants returns the variants to compare. The first is figweir's own policy. The
// next three are baselines that differ from it only in routing; each of the others
// lacks one part of it.
func Variants() []Variant {
	cost := func(seed uint64) route.Policy { return route.NewCost(seed, route.DefaultWeights) }
	return []Variant{
		{Name: "cost (policy)", NewPolicy: cost, Admission: true, Planner: true},
		{Name: "round robin", NewPolicy: func(uint64) route.Policy { return &route.RoundRobin{} }, Admission: true, Planner: true},
		{Name: "least outstanding", NewPolicy: func(uint64) route.Policy { return route.LeastOutstanding{} }, Admission: true, Planner: true},
		{Name: "prefix affinity", NewPolicy: func(uint64) route.Policy { return route.PrefixAffinity{} }, Admission: true, Planner: true},
		{Name: "cost, no planner", NewPolicy: cost, Admission: true},
		{Name: "cost, no admission", NewPolicy: cost, Planner: true},
		{Name: "cost, mixed engines", NewPolicy: cost, Admission: true, Planner: true, MixedRoles: true},
	}
}

// Comparison holds the runs of all variants. Runs is indexed by variant and seed.
type Comparison struct {
	Deployment Deployment
	Schedule   Schedule
	Variants   []Variant
	Seeds      []uint64
	Runs       [][]*Run
}

// Compare runs all variants with the arrivals of each seed. It runs at most parallel
// simulations at the same time.
func Compare(deployment Deployment, schedule Schedule, variants []Variant, seeds []uint64, parallel int) *Comparison {
	c := &Comparison{Deployment: deployment, Schedule: schedule, Variants: variants, Seeds: seeds, Runs: make([][]*Run, len(variants))}
	semaphore := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, v := range variants {
		c.Runs[i] = make([]*Run, len(seeds))
		for j, seed := range seeds {
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				c.Runs[i][j] = Simulate(deployment, schedule, v, seed)
			})
		}
	}
	wg.Wait()
	return c
}

// metric is one row of the table.
type metric struct {
	name  string
	value func(*Run) float64
}

var metrics = []metric{
	{"goodput before (1/s)", func(r *Run) float64 { return r.Goodput(BeforeShift) }},
	{"during", func(r *Run) float64 { return r.Goodput(DuringShift) }},
	{"after", func(r *Run) float64 { return r.Goodput(AfterShift) }},
	{"good share during+after (%)", func(r *Run) float64 {
		return 100 * float64(sum(r.GoodAnswers[DuringShift])+sum(r.GoodAnswers[AfterShift])) / float64(max(1, sum(r.OfferedCalls[DuringShift])+sum(r.OfferedCalls[AfterShift])))
	}},
	{"worst workspace", (*Run).WorstFairShareRatio},
	{"role changes", func(r *Run) float64 { return float64(r.RoleChanges) }},
	{"server seconds", func(r *Run) float64 { return r.ServerSeconds }},
	{"spending", func(r *Run) float64 { return r.Spending }},
	{"spending per 1000 good answers", func(r *Run) float64 {
		return 1000 * r.Spending / float64(max(1, sum(r.GoodAnswers[BeforeShift])+sum(r.GoodAnswers[DuringShift])+sum(r.GoodAnswers[AfterShift])+sum(r.GoodAnswers[AfterReclaim])))
	}},
	{"work on cheaper (%)", func(r *Run) float64 { return 100 * r.ReclaimableWorkRatio() }},
	{"good share at reclaim (%)", func(r *Run) float64 { return 100 * r.GoodRatio(AfterReclaim) }},
	{"reclaimed", func(r *Run) float64 { return float64(r.Reclaimed) }},
	{"moved", func(r *Run) float64 { return float64(r.Interrupted()) }},
	{"lost", func(r *Run) float64 { return float64(r.Lost()) }},
	{"refused (%)", func(r *Run) float64 {
		return 100 * float64(r.Refused()) / float64(max(1, r.Refused()+r.finished+r.lost))
	}},
	{"prompt tokens cached (%)", func(r *Run) float64 {
		return 100 * (1 - float64(r.promptTokensPrefilled)/float64(max(1, r.promptTokensSent)))
	}},
	{"good share before (%)", func(r *Run) float64 { return 100 * r.GoodRatio(BeforeShift) }},
	{"p95 first token (ms)", func(r *Run) float64 { first, _ := r.Quantiles(0.95); return first.Seconds() * 1000 }},
	{"p95 between (ms)", func(r *Run) float64 { _, between := r.Quantiles(0.95); return between.Seconds() * 1000 }},
}

// WriteMarkdown writes a table with a row per metric and a column per variant. A
// cell holds the median over the seeds and the lowest and highest value. The last
// row counts the seeds in which the first variant had more good answers during and
// after the shift than the variant of the column.
func (c *Comparison) WriteMarkdown(w io.Writer) {
	fmt.Fprintf(w, "\n### %s, prompt-to-output ratio x%.2f", c.Deployment.Name, c.Schedule.RatioFactor)
	if c.Schedule.LargeSurge > 0 {
		fmt.Fprintf(w, ", calls of large workspaces x%.1f", c.Schedule.LargeSurge)
	}
	fmt.Fprint(w, "\n\n|")
	for _, v := range c.Variants {
		fmt.Fprintf(w, " | %s", v.Name)
	}
	fmt.Fprint(w, " |\n| ---")
	for range c.Variants {
		fmt.Fprint(w, " | ---")
	}
	fmt.Fprintln(w, " |")
	for _, m := range metrics {
		fmt.Fprintf(w, "| %s", m.name)
		for i := range c.Variants {
			values := make([]float64, len(c.Seeds))
			for j, r := range c.Runs[i] {
				values[j] = m.value(r)
			}
			slices.Sort(values)
			fmt.Fprintf(w, " | %s [%s, %s]", formatNumber(values[len(values)/2]), formatNumber(values[0]), formatNumber(values[len(values)-1]))
		}
		fmt.Fprintln(w, " |")
	}
	fmt.Fprint(w, "| seeds in which the policy has more good answers during+after")
	for i := range c.Variants {
		better := 0
		for j := range c.Seeds {
			policy, other := c.Runs[0][j], c.Runs[i][j]
			if sum(policy.GoodAnswers[DuringShift])+sum(policy.GoodAnswers[AfterShift]) > sum(other.GoodAnswers[DuringShift])+sum(other.GoodAnswers[AfterShift]) {
				better++
			}
		}
		fmt.Fprintf(w, " | %d of %d", better, len(c.Seeds))
	}
	fmt.Fprintln(w, " |")
}

func formatNumber(v float64) string {
	switch {
	case v >= 100 || v == float64(int(v)):
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}
