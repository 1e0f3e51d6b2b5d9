package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// encode writes a command as an array of bulk strings.
func encode(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// readBulk reads a bulk string whose length line has been read.
func readBulk(r *bufio.Reader, lengthLine string) (string, error) {
	n, err := strconv.Atoi(lengthLine[1:])
	if err != nil || n < 0 || n > 1<<17 {
		return "", errors.New("bad length " + lengthLine)
	}
	data := make([]byte, n+2)
	_, err = io.ReadFull(r, data)
	return string(data[:n]), err
}

// readCommand reads a command of an ingress.
func readCommand(r *bufio.Reader) (words []string, err error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil {
		return nil, err
	}
	for range n {
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		word, err := readBulk(r, line)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// option returns the value of a name in a list such as c=view,d=480.
func option(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if k, v, _ := strings.Cut(pair, "="); k == name {
			return v
		}
	}
	return ""
}

// request is one request of a client.
type request struct {
	id     string
	class  string // view, save-draft or turn-in
	limit  time.Duration
	school int
}

// command returns the request as a client writes it.
func (q request) command() []byte {
	options := fmt.Sprintf("c=%s,t=classroom,d=%d,units=1,spread=3,first=0", q.class, q.limit.Milliseconds())
	customer := fmt.Sprintf("%016x", 0x1000+q.school)
	switch q.class {
	case "view":
		return encode("Q.ASK", customer, q.id, options)
	case "save-draft":
		return encode("Q.DO", customer, q.id, options+",k="+q.id, "BODY")
	}
	return encode("Q.DO", customer, q.id, options, "BODY")
}

// The kinds of answers that a client may see.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
	nothing = "nothing"
)

// readAnswer reads one answer of an ingress. The kind is nothing if no whole answer came.
func readAnswer(conn net.Conn, r *bufio.Reader, until time.Time) (kind, text string) {
	conn.SetReadDeadline(until)
	line, err := readLine(r)
	if err != nil {
		return nothing, err.Error()
	}
	switch {
	case strings.HasPrefix(line, "$"):
		value, err := readBulk(r, line)
		if err != nil {
			return nothing, err.Error()
		}
		return served, value
	case strings.HasPrefix(line, "-BUSY"):
		return refused, line
	}
	return failed, line
}
