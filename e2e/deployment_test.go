package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/tidwall/sjson"

	"github.com/figweir/figweir/questionnaire"
	"github.com/figweir/figweir/settings"
)

// Names in the small example.
const (
	model       = "draft-lm"
	serviceName = "ledger"
	workspace   = "north"
)

// portsPerDeployment is more than the small example takes with three nodes.
const portsPerDeployment = 20

// deployment is the small example, run as separate processes.
type deployment struct {
	t        *testing.T
	dir      string
	platform *process
	nodes    []*nodeProcess
	// services are the addresses of the service stand-ins.
	services []string
	// key is the key of the workspace.
	key    string
	secret string
	http   *http.Client
}

// nodeProcess is a node and the process that runs it now.
type nodeProcess struct {
	*process
	file     string
	settings settings.Settings
}

// deploy generates the small example with so many nodes, starts it and waits
// until all nodes are ready.
func deploy(t *testing.T, nodes int) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: filepath.Join(t.TempDir(), "deployment"), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(d.http.CloseIdleConnections)
	d.generate(nodes)
	platform := d.nodes[0].settings.Platform.Address
	d.platform = start(t, "platform", "standin", "platform", "--listen", platform, "--vms", d.file("vms.json"))
	listeners := append([]string{platform}, d.services...)
	for _, kind := range []string{"engine", "service"} {
		for _, file := range d.files(kind + "s") {
			start(t, strings.TrimSuffix(filepath.Base(file), ".json"), "standin", kind, "--settings", file)
		}
	}
	for _, file := range d.files("engines") {
		var s questionnaire.EngineStandin
		d.readJSON(file, &s)
		listeners = append(listeners, s.Listen)
	}
	for _, address := range listeners {
		eventually(t, "a stand-in listens on "+address, func() error { return dial(address) })
	}
	for i := range d.nodes {
		d.startNode(i)
	}
	for _, n := range d.nodes {
		eventually(t, n.settings.Name+" is healthy", func() error { return d.probe(n, "/healthz") })
	}
	d.command(0, "apply", "--config", d.file("config.json"))
	for i := range d.nodes {
		d.waitReady(i)
	}
	return d
}

func dial(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (d *deployment) generate(nodes int) {
	t := d.t
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "examples", "small", "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	for field, value := range map[string]int{"first_port": freePorts(t), "entry_vms": nodes} {
		if raw, err = sjson.SetBytes(raw, field, value); err != nil {
			t.Fatal(err)
		}
	}
	answers := filepath.Join(t.TempDir(), "answers.json")
	if err := os.WriteFile(answers, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d.run(nil, "init", "--answers", answers, "--out", d.dir)
	var keys []questionnaire.GeneratedKey
	d.readJSON(d.file("keys.json"), &keys)
	for _, k := range keys {
		if k.Workspace == workspace {
			d.key = k.Key
		}
	}
	for _, file := range d.files("nodes") {
		s, err := settings.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		d.nodes = append(d.nodes, &nodeProcess{file: file, settings: s})
	}
	for _, file := range d.files("services") {
		var s questionnaire.ServiceStandin
		d.readJSON(file, &s)
		d.services = append(d.services, s.Listen)
	}
	if d.key == "" || len(d.nodes) != nodes || len(d.services) == 0 {
		t.Fatalf("the generated deployment is not complete: %d nodes, %d services", len(d.nodes), len(d.services))
	}
	d.secret = d.nodes[0].settings.Secrets.Operator
}

func (d *deployment) file(name string) string { return filepath.Join(d.dir, name) }

func (d *deployment) files(directory string) []string {
	files, err := filepath.Glob(filepath.Join(d.dir, directory, "*.json"))
	if err != nil {
		d.t.Fatal(err)
	}
	return files
}

func (d *deployment) readJSON(file string, v any) {
	d.t.Helper()
	raw, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// startNode starts the process of a node. It is also used for a new process on
// the same VM address.
func (d *deployment) startNode(i int) {
	d.t.Helper()
	n := d.nodes[i]
	n.process = start(d.t, n.settings.Name, "node", "--settings", n.file)
}

func (d *deployment) waitReady(i int) {
	d.t.Helper()
	n := d.nodes[i]
	eventually(d.t, n.settings.Name+" is ready", func() error { return d.probe(n, "/readyz") })
}

func (d *deployment) probe(n *nodeProcess, path string) error {
	select {
	case <-n.ended:
		return fmt.Errorf("the process has ended: %v", n.cmd.ProcessState)
	default:
	}
	resp, err := d.http.Get("http://" + n.settings.Listen.Operators + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// command runs an operator command through a node and returns its output.
func (d *deployment) command(i int, args ...string) string {
	d.t.Helper()
	return d.run([]string{
		"FIGWEIR_OPERATOR=" + d.nodes[i].settings.Listen.Operators,
		"FIGWEIR_OPERATOR_SECRET=" + d.secret, "FIGWEIR_AUTHOR=e2e",
	}, args...)
}

func (d *deployment) run(env []string, args ...string) string {
	d.t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	var failure strings.Builder
	cmd.Stderr = &failure
	out, err := cmd.Output()
	if err != nil {
		d.t.Fatalf("figweir %s: %v\n%s", strings.Join(args, " "), err, failure.String())
	}
	return strings.TrimSpace(string(out))
}

// freePorts returns the first of portsPerDeployment free ports in a row. They
// are below the range that Linux takes for outgoing connections (32768 to 60999
// unless it is set otherwise), and apart from those of the examples.
func freePorts(t *testing.T) int {
	t.Helper()
	const low, high = 11_000, 20_000
	for range 100 {
		first := low + rand.IntN(high-low-portsPerDeployment)
		if portsFree(first) {
			return first
		}
	}
	t.Fatalf("no %d free ports in a row", portsPerDeployment)
	return 0
}

func portsFree(first int) bool {
	for port := first; port < first+portsPerDeployment; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}
