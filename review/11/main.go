//go:build review

// Command review-11 is case 11 of the third review: a request that stands in the body of another one
// is run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figweir/figweir/review/harness3"
)

const (
	requests = 10
	deadline = 4 * time.Second
	// paddingLines of paddingBytes each make a head of about 5 KB. The configuration allows 16,384 bytes.
	paddingLines = 5
	paddingBytes = 900
	// answerTime is how long the case waits for another answer on a connection, settleTime for runs after
	// the last answer.
	answerTime = 300 * time.Millisecond
	settleTime = time.Second
)

func main() { harness3.Main("11", run) }

func run(w *harness3.World) int {
	w.StartStore()
	w.Put("op/config", harness3.Config(1))
	runs := &harness3.Runs{}
	for i := range 3 {
		w.StartServer(fmt.Sprintf("i-ledger-%d", i), harness3.Ledger, runs, harness3.Work{})
	}
	g := w.StartGateway(harness3.GatewayOptions{Name: "frontend-1", Zone: "z1"})
	short := send(w, g.Callers, "short", false, "")
	w.Logf("beside: the same request with a short head is answered %d", short)
	ahead := harness3.Head(http.MethodGet, harness3.SafePath+"1", "ahead", deadline)
	send(w, g.Callers, "behind", false, ahead)
	for i := range requests {
		send(w, g.Callers, fmt.Sprintf("outer-%d", i), true, "")
	}
	time.Sleep(settleTime)
	w.Logf("beside: with a short head, sent right behind another request, the inner one ran %d times", len(runs.Of("inner-of-behind")))
	smuggled := 0
	for i := range requests {
		outer, inner := fmt.Sprintf("outer-%d", i), "inner-of-"+fmt.Sprintf("outer-%d", i)
		for _, r := range runs.Of(inner) {
			smuggled++
			w.Logf("%s ran %s %s of %s, which stands in the body of %s", r.Server, r.Method, r.Path, r.Attempt, outer)
		}
		w.Recordf("%s ran %d times", outer, len(runs.Of(outer)))
	}
	w.Logf("%d of %d requests that stand in the body of another one ran", smuggled, requests)
	if smuggled > 0 {
		return harness3.Broken
	}
	return harness3.Held
}

// send sends one request whose body holds the text of another one, and returns the status of the first
// answer. With the disruption its head states the length of that body and a transfer encoding as well,
// by which the body would end at once. If long is set, the head is longer than 4 KB. The text ahead is sent
// before it in one piece.
func send(w *harness3.World, address, attempt string, long bool, ahead string) (status int) {
	inner := harness3.Head(http.MethodPost, harness3.UnsafePath+"9", "inner-of-"+attempt, deadline, "Content-Length: 0")
	body := "0\r\n\r\n" + inner
	var lines []string
	if long {
		for i := range paddingLines {
			lines = append(lines, fmt.Sprintf("X-Note-%d: %s", i, strings.Repeat("n", paddingBytes)))
		}
	}
	if w.Trouble {
		lines = append(lines, "Transfer-Encoding: chunked")
	}
	lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	head := harness3.Head(http.MethodPost, harness3.SafePath+"1", attempt, deadline, lines...)
	conn, err := net.Dial("tcp", address)
	harness3.Check(err)
	defer conn.Close()
	_, err = io.WriteString(conn, ahead+head+body)
	harness3.Check(err)
	w.Recordf("sent %s: head of %d bytes, body of %d bytes", attempt, len(head), len(body))
	answers := bufio.NewReader(conn)
	for {
		harness3.Check(conn.SetReadDeadline(time.Now().Add(answerTime)))
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			w.Recordf("connection of %s: %v", attempt, err)
			return status
		}
		text, err := io.ReadAll(resp.Body)
		w.Recordf("answer on the connection of %s: %d, id %q, %q, %v", attempt, resp.StatusCode, resp.Header.Get("Attempt-Id"), text, err)
		if status == 0 {
			status = resp.StatusCode
		}
	}
}
