package metrics

import (
	"expvar"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Names of the metrics of the Go runtime.
const (
	heapMetric  = "/memory/classes/heap/objects:bytes"
	totalMetric = "/memory/classes/total:bytes"
)

// publishProcess adds what the process uses. A process that runs several nodes
// shows the same values in each set.
func (s *Set) publishProcess() {
	s.vars.Set("process_cpu_seconds", expvar.Func(func() any { return cpuSeconds() }))
	s.vars.Set("process_heap_bytes", expvar.Func(func() any { return readMemory(heapMetric) }))
	s.vars.Set("process_memory_bytes", expvar.Func(func() any { return readMemory(totalMetric) }))
	s.vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
}

// cpuSeconds returns the user and system time of the process, or 0 if the
// system does not tell.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return (time.Duration(u.Utime.Nano()) + time.Duration(u.Stime.Nano())).Seconds()
}

func readMemory(name string) uint64 {
	samples := []metrics.Sample{{Name: name}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return samples[0].Value.Uint64()
}
