package metrics

import (
	"expvar"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Names of metrics in the package runtime/metrics.
const (
	runtimeHeapMetric  = "/memory/classes/heap/objects:bytes"
	runtimeTotalMetric = "/memory/classes/total:bytes"
)

// publishProcessMetrics adds the resource usage of the process. If a process runs
// several nodes, all their sets have the same values.
func (s *Set) publishProcessMetrics() {
	s.vars.Set("process_cpu_seconds", expvar.Func(func() any { return cpuSeconds() }))
	s.vars.Set("process_heap_bytes", expvar.Func(func() any { return readRuntimeMetric(runtimeHeapMetric) }))
	s.vars.Set("process_memory_bytes", expvar.Func(func() any { return readRuntimeMetric(runtimeTotalMetric) }))
	s.vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
}

// cpuSeconds returns the user and system CPU time of the process in seconds, or 0
// if the operating system does not report it.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return (time.Duration(usage.Utime.Nano()) + time.Duration(usage.Stime.Nano())).Seconds()
}

// readRuntimeMetric returns a metric of the Go runtime, or 0 if the runtime does not
// have it.
func readRuntimeMetric(name string) uint64 {
	samples := []metrics.Sample{{Name: name}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return samples[0].Value.Uint64()
}
