// Package smuggling sends requests whose head states two ends of the body, with another request between
// the two (request smuggling, RFC 9112, section 11.2), and sound requests of similar shapes.
package smuggling

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// answerTimeout is how long a client waits for a further answer, or for the close of its connection.
	answerTimeout = 10 * time.Second
	// paddingLines fields of paddingBytes each make a head that is longer than the read buffer of
	// net/http, 4 KB.
	paddingLines = 5
	paddingBytes = 900
)

// Target is a listener and the requests that are sent to it.
type Target struct {
	Address string
	// Head returns the request line and the headers of a request with the given id, each with its line
	// end, without the framing of a body and without the empty line behind the headers.
	Head func(id string) string
	// Body returns the body of a sound request.
	Body func(id string) string
}

// whole returns a request without a body.
func (t Target) whole(id string) string { return t.Head(id) + "Content-Length: 0\r\n\r\n" }

// Form is a form of a request with another one in its body.
type Form struct {
	Name string
	// methodAndPath and version replace those of the target if they aren't empty.
	methodAndPath, version string
	// fields are the fields that frame the request. {length} stands for the length of the body.
	fields []string
	// body is sent ahead of the request in the body; "" for the last chunk alone.
	body string
	// ahead is set if a sound request is sent before it in the same write.
	ahead bool
	// bareLF is set if lines of the head end without a carriage return.
	bareLF bool
	// byBytes is set if each byte is sent in a write of its own.
	byBytes bool
}

const (
	encoding = "Transfer-Encoding: chunked"
	length   = "Content-Length: {length}"
)

// padding is a number of fields that don't frame the request.
var padding = strings.TrimSuffix(strings.Repeat("X-Note: "+strings.Repeat("n", paddingBytes)+"\r\n", paddingLines), "\r\n")

// Forms are the forms for listeners of HTTP/1.1. None of them may be served.
var Forms = []Form{
	{Name: "length behind encoding", fields: []string{encoding, length}},
	{Name: "length ahead of encoding", fields: []string{length, encoding}},
	{Name: "names in other cases", fields: []string{"TRANSFER-encoding: CHUNKED", "content-LENGTH: {length}"}},
	{Name: "length of zero", fields: []string{encoding, "Content-Length: 0"}},
	{Name: "equal lengths", fields: []string{length, length, encoding}},
	{Name: "folded length", fields: []string{encoding, "Content-Length:\r\n {length}"}},
	{Name: "folded encoding", fields: []string{"Transfer-Encoding:\r\n chunked", length}},
	{Name: "bare line feeds", fields: []string{encoding, length}, bareLF: true},
	{Name: "chunk ahead", fields: []string{encoding, length}, body: "3\r\nabc\r\n0\r\n\r\n"},
	{Name: "chunk that stops", fields: []string{encoding, length}, body: "ffff\r\n"},
	{Name: "interim response expected", fields: []string{encoding, length, "Expect: 100-continue"}},
	{Name: "HTTP/1.0", version: "HTTP/1.0", fields: []string{encoding, length, "Connection: keep-alive"}},
	{Name: "OPTIONS *", methodAndPath: "OPTIONS *", fields: []string{encoding, length}},
	{Name: "byte by byte", fields: []string{encoding, length}, byBytes: true},
	{Name: "long head", fields: []string{padding, encoding, length}},
	{Name: "long head, encoding first", fields: []string{encoding, padding, length}},
	{Name: "long head, framing first", fields: []string{encoding, length, padding}},
	{Name: "long head byte by byte", fields: []string{padding, length, encoding}, byBytes: true},
	{Name: "behind another request", fields: []string{encoding, length}, ahead: true},
	{Name: "long head behind another request", fields: []string{padding, encoding, length}, ahead: true},
	{Name: "OPTIONS * behind another request", methodAndPath: "OPTIONS *", fields: []string{encoding, length}, ahead: true},
}

// InnerID is the id of the request in the body of the form.
func (f Form) InnerID() string { return "inner " + f.Name }

// Check sends the form. It returns an error unless the request is refused with status 400 and the
// connection is closed, so that nothing behind its head has been served.
func (f Form) Check(t Target) error {
	text, expected := f.text(t), 1
	if f.ahead {
		text, expected = t.whole("ahead "+f.Name)+text, 2
	}
	statuses, err := Send(t.Address, text, f.byBytes, expected+1)
	switch {
	case err == nil || errors.Is(err, errNoAnswer):
		return fmt.Errorf("the connection stays open after the answers %v", statuses)
	case len(statuses) != expected || statuses[expected-1] != http.StatusBadRequest:
		return fmt.Errorf("the answers are %v, then %w", statuses, err)
	}
	return nil
}

// CheckUnanswered sends the form. It returns an error unless the connection is closed without an answer.
func (f Form) CheckUnanswered(t Target) error {
	statuses, err := Send(t.Address, f.text(t), f.byBytes, 1)
	if err == nil || errors.Is(err, errNoAnswer) {
		return fmt.Errorf("the connection is not closed after the answers %v", statuses)
	}
	return nil
}

// text returns the request and what stands in its body.
func (f Form) text(t Target) string {
	body := f.body
	if body == "" {
		body = "0\r\n\r\n"
	}
	body += t.whole(f.InnerID())
	head := t.Head("outer " + f.Name)
	if f.methodAndPath != "" {
		head = f.methodAndPath + head[strings.Index(head, " HTTP/1.1\r\n"):]
	}
	if f.version != "" {
		head = strings.Replace(head, "HTTP/1.1", f.version, 1)
	}
	head += strings.ReplaceAll(strings.Join(f.fields, "\r\n"), "{length}", fmt.Sprint(len(body))) + "\r\n\r\n"
	if f.bareLF {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	return head + body
}

// Shape is the framing of a sound request.
type Shape struct {
	Name string
	// fields are the fields that frame the request, as in Form.
	fields []string
	// encode returns the body as it is sent; nil if it is sent as it is.
	encode func(body string) string
}

// SoundShapes are shapes of requests that have to be served.
var SoundShapes = []Shape{
	{Name: "chunks", fields: []string{encoding}, encode: inChunks},
	{Name: "length", fields: []string{length}},
	{Name: "chunks behind a long head", fields: []string{padding, encoding}, encode: inChunks},
	{Name: "length behind a long head", fields: []string{padding, length}},
	{Name: "chunks ahead of other fields", fields: []string{encoding, padding}, encode: inChunks},
	{Name: "equal lengths", fields: []string{length, length}},
	{Name: "chunks with extensions and a trailer", fields: []string{encoding}, encode: func(body string) string {
		return fmt.Sprintf("%X;name=value\r\n%s\r\n000 \r\nX-Trailer: Content-Length: 9\r\n\r\n", len(body), body)
	}},
}

// inChunks returns a body in two chunks.
func inChunks(body string) string {
	first, second := body[:len(body)/2], body[len(body)/2:]
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(first), first, len(second), second)
}

// Text returns a request of this shape.
func (s Shape) Text(t Target, id string) string {
	body := t.Body(id)
	fields := strings.ReplaceAll(strings.Join(s.fields, "\r\n"), "{length}", fmt.Sprint(len(body)))
	if s.encode != nil {
		body = s.encode(body)
	}
	return t.Head(id) + fields + "\r\n\r\n" + body
}

// errNoAnswer means that the server neither answers nor closes the connection.
var errNoAnswer = errors.New("smuggling: no answer")

// Send sends a text on a connection of its own, at once or each byte in a write of its own, and returns
// the statuses of at most maxAnswers final answers. The error is nil if there are as many.
func Send(address, text string, byBytes bool, maxAnswers int) (statuses []int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	// The server may refuse the request before all of it is written.
	go write(c, text, byBytes)
	answers := bufio.NewReader(c)
	for len(statuses) < maxAnswers {
		_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
		resp, err := http.ReadResponse(answers, nil)
		if err == nil && resp.StatusCode == http.StatusContinue {
			continue
		}
		if err == nil {
			statuses = append(statuses, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
		}
		var timedOut net.Error
		if errors.As(err, &timedOut) && timedOut.Timeout() {
			return statuses, errNoAnswer
		}
		if err != nil {
			return statuses, err
		}
	}
	return statuses, nil
}

// write writes the text until the connection is closed.
func write(c net.Conn, text string, byBytes bool) {
	if !byBytes {
		_, _ = io.WriteString(c, text)
		return
	}
	for i := range len(text) {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return
		}
	}
}
