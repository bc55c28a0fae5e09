package e2e

import (
	"bytes"
	"fmt"
	"github.com/figweir/figweir/standin/logbuffer"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// pollLimit bounds every wait for a condition. It is far above what any of them
// takes, so that a busy machine fails no test.
const pollLimit = 60 * time.Second

// program is the path of the binary under test.
var program string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "figweir-e2e-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "figweir")
	out, err := exec.Command("go", "build", "-o", program, "github.com/figweir/figweir/cmd/figweir").CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// process is a process that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  logbuffer.Buffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

// start starts the program. The process is ended when the test is over, and its
// log is attached to the test if it failed.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("log of %s (process %d):\n%s", p.name, p.cmd.Process.Pid, p.log.String())
		}
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// pause stops the process until resume, and returns when it is stopped.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	eventually(t, p.name+" is stopped", func() error {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		// The state follows the name, which is in parentheses.
		if i := bytes.LastIndexByte(raw, ')'); i < 0 || i+2 >= len(raw) || raw[i+2] != 'T' {
			return fmt.Errorf("stat is %s", raw)
		}
		return nil
	})
}

func (p *process) resume(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGCONT)
}

// wait waits for the end of the process and returns its exit code, which is -1
// if a signal ended it.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(pollLimit):
		t.Fatalf("%s did not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// eventually waits until check returns nil.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(pollLimit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s: %v", what, err)
		}
		time.Sleep(interval)
	}
}
