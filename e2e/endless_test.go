package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
)

const (
	// smallestMemoryMB is the memory of the smallest machine.
	smallestMemoryMB = 160
	// endlessServers is how many servers send endless answers.
	endlessServers = 24
	// endlessCallers is how many requests get an endless answer at the same time.
	endlessCallers = 200
)

// startEndless starts a server that gives each request an endless answer.
func startEndless(t *testing.T, answer backendsim.EndlessAnswer) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer.Send(c)
		}
	}()
	return l.Addr().String()
}

// peakMemoryMB returns the most memory that a process has used so far.
func peakMemoryMB(t *testing.T, p *process) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}

// TestEndlessAnswersLeaveMemory guards against a process that runs out of memory, and against requests
// of others that fail with it, because faulty servers send bytes without end: 200 requests at a
// time for each way of sending them, half of their callers don't read, beside requests to a
// sound server. The memory is that of the smallest machine.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	for name, answer := range backendsim.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sound, err := backendsim.StartProcess(backendsim.Options{ID: "p0", Slots: 100}, "127.0.0.1")
			is.NoErr(err)
			t.Cleanup(sound.Close)
			servers := []gatewayServer{{"p0", "plain", sound.Address()}}
			for i := range endlessServers {
				servers = append(servers, gatewayServer{fmt.Sprintf("m%d", i), "models", startEndless(t, answer)})
			}
			p := startGatewayWith(t, gatewayOptions{memoryMB: smallestMemoryMB, servers: servers})
			atStart := peakMemoryMB(t, p)
			var callers sync.WaitGroup
			for i := range endlessCallers {
				callers.Go(func() { callEndless(t, i) })
			}
			var served atomic.Int64
			const others = 40
			for i := range others {
				is.Equal(callSound(t, i), http.StatusOK)
				served.Add(1)
			}
			callers.Wait()
			peak := peakMemoryMB(t, p)
			t.Logf("peak memory %d MB of %d MB, %d MB at the start; %d of %d requests of others served", peak, smallestMemoryMB, atStart, served.Load(), others)
			is.True(peak < smallestMemoryMB)
			select {
			case <-p.exited:
				t.Error("the process has ended")
			default:
			}
		})
	}
}

// TestEndlessAnswersOfStoreLeaveMemory guards against a process that runs out of memory, or fails
// requests, because the store sends bytes without end in answer to each call, for five seconds.
func TestEndlessAnswersOfStoreLeaveMemory(t *testing.T) {
	for _, part := range []string{"x", "{\"items\":[", "X########:\r\n"} {
		t.Run(part, func(t *testing.T) {
			is := is.New(t)
			sound, err := backendsim.StartProcess(backendsim.Options{ID: "p0", Slots: 100}, "127.0.0.1")
			is.NoErr(err)
			t.Cleanup(sound.Close)
			var endless atomic.Bool
			var calls atomic.Int64
			p := startGatewayWith(t, gatewayOptions{
				memoryMB: smallestMemoryMB, servers: []gatewayServer{{"p0", "plain", sound.Address()}},
				wrapStore: func(h http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if !endless.Load() {
							h.ServeHTTP(w, r)
							return
						}
						calls.Add(1)
						c, _, err := http.NewResponseController(w).Hijack()
						if err == nil {
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
							if !strings.HasPrefix(part, "X") {
								_, _ = io.WriteString(c, "Content-Type: application/json\r\n\r\n")
							}
							backendsim.EndlessAnswer{Part: part}.Repeat(c)
							_ = c.Close()
						}
					})
				},
			})
			endless.Store(true)
			until := time.Now().Add(5 * time.Second)
			for i := 0; time.Now().Before(until); i++ {
				is.Equal(callSound(t, i), http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			peak := peakMemoryMB(t, p)
			t.Logf("peak memory %d MB of %d MB, %d calls", peak, smallestMemoryMB, calls.Load())
			is.True(calls.Load() > 0)
			is.True(peak < smallestMemoryMB)
		})
	}
}

// callEndless sends a request for which the server sends bytes without end. A caller with an odd
// number doesn't read its answer.
func callEndless(t *testing.T, number int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+backendsim.Host+"/resume/x", nil)
	if err != nil {
		t.Error(err)
		return
	}
	backendsim.SetCallerHeaders(r.Header, fmt.Sprintf("endless-%d", number), callerKey, 2*time.Second)
	c, err := net.Dial("tcp", gatewayAddress+":8100")
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	if err := r.Write(c); err != nil {
		t.Error(err)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if number%2 == 1 {
		time.Sleep(2 * time.Second)
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// callSound sends a request to the sound server and returns the status of its answer.
func callSound(t *testing.T, number int) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+gatewayAddress+":8100/unsafe/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = backendsim.Host
	backendsim.SetCallerHeaders(r.Header, fmt.Sprintf("sound-%d", number), callerKey, 4*time.Second)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
		return 0
	}
	return resp.StatusCode
}
