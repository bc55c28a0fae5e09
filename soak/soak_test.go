package soak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seeds         = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed")
	faultDuration = flag.Duration("soak.time", 6*time.Second, "duration of the faults of each seed")
	nodeCount     = flag.Int("soak.nodes", 3, "number of nodes")
	clientCount   = flag.Int("soak.clients", 12, "number of clients")
	builtBinary   = flag.String("soak.binary", "", "program to run instead of a build of this tree, for example of an earlier version")
	logDir        = flag.String("soak.keep", "", "directory for the logs of seeds with findings")
)

// regressions are seeds that failed in the past and are run every time. The comment
// before each seed gives the cause of its failure.
var regressions = []uint64{
	// 4001: a response with wrong bytes. The simulated backend server lost its
	// response when it added an extra one; the tests of platform/backendsim guard
	// against that fault.
	4001,
	// 2003: only 72 of 100 requests were served after the last fault. The test did
	// not retry a configuration write that the store refused, so a key stayed
	// withdrawn. The logs also showed that SIGHUP did not reload the settings file.
	2003,
}

// TestSoak runs nodes as processes under random faults. It guards against
// violations of the guarantees of docs/proofs.md: duplicate runs, streams that run on two servers,
// refused requests that ran, incomplete responses, responses to another request, requests
// that run for another workspace or for callers who have left, requests to leaving servers, changed usage figures,
// and nodes that don't recover.
func TestSoak(t *testing.T) {
	binary := *builtBinary
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "figweir")
		if out, err := exec.Command("go", "build", "-o", binary, "../cmd/figweir").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	seedList := append([]uint64{}, regressions...)
	for i := range *seeds {
		seedList = append(seedList, *firstSeed+uint64(i))
	}
	for _, seed := range seedList {
		runSeed(t, binary, seed, *nodeCount)
	}
	if *nodeCount < nodesWithReaders {
		runSeed(t, binary, *firstSeed, nodesWithReaders)
	}
}

// nodesWithReaders is a number of nodes of one failure domain at which most of them read
// the store through others.
const nodesWithReaders = 8

// runSeed runs one seed on a number of nodes and reports its findings, at most 10 of them
// in full.
func runSeed(t *testing.T, binary string, seed uint64, nodes int) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(Options{Binary: binary, Dir: dir, Seed: seed, Nodes: nodes, Clients: *clientCount, Time: *faultDuration})
	if err != nil {
		t.Fatal(err)
	}
	result := d.Run()
	d.Close()
	t.Logf("seed %d on %d nodes: %d requests, %d complete, %d refused, %d other, %d windows", seed, nodes, result.Asked, result.Whole, result.Refused, result.Other, result.Windows)
	for i, f := range result.Findings {
		if i == 10 {
			t.Logf("seed %d: %d more findings", seed, len(result.Findings)-i)
			break
		}
		t.Errorf("seed %d: %s", seed, f)
	}
	if len(result.Findings) > 0 && *logDir != "" {
		if err := os.Rename(dir, filepath.Join(*logDir, filepath.Base(dir))); err != nil {
			t.Logf("the logs are still in %s: %v", dir, err)
		}
		return
	}
	_ = os.RemoveAll(dir)
}
