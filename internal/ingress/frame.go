package ingress

import (
	"bytes"
	"errors"
)

// Strict parsers for the frames of RESP2. Each returns n = 0 while its input is
// incomplete, and an error as soon as the input can't become valid: treating it as
// incomplete would make the reader wait, and buffer, for as long as the peer keeps
// the connection open.

const (
	maxLengthDigits = 9    // in a length line
	maxLineBytes    = 1024 // of an error or a simple string
)

var (
	errTooLong   = errors.New("message is too long")
	errMalformed = errors.New("message is malformed")
	nullLength   = []byte("-1\r\n")
)

// parseLength parses the length line after a type byte: only digits, or -1 for a null.
func parseLength(buf []byte) (value, n int, err error) {
	rest := buf[1:]
	if bytes.HasPrefix(rest, nullLength) {
		return -1, 1 + len(nullLength), nil
	}
	if bytes.HasPrefix(nullLength, rest) {
		return 0, 0, nil
	}
	for i, ch := range rest {
		switch {
		case ch >= '0' && ch <= '9' && i < maxLengthDigits:
			value = 10*value + int(ch-'0')
		case ch == '\r' && i > 0 && i+1 == len(rest):
			return 0, 0, nil
		case ch == '\r' && i > 0 && rest[i+1] == '\n':
			return value, 1 + i + 2, nil
		default:
			return 0, 0, errMalformed
		}
	}
	return 0, 0, nil
}

// parseBulk parses a bulk string of at most maxBytes. A null is malformed.
func parseBulk(buf []byte, maxBytes int) (data []byte, n int, err error) {
	data, n, err = parseBulkOrNull(buf, maxBytes)
	if n > 0 && data == nil {
		return nil, 0, errMalformed
	}
	return data, n, err
}

// parseBulkOrNull parses a bulk string of at most maxBytes, or a null, for which data
// is nil.
func parseBulkOrNull(buf []byte, maxBytes int) (data []byte, n int, err error) {
	if len(buf) == 0 {
		return nil, 0, nil
	}
	if buf[0] != '$' {
		return nil, 0, errMalformed
	}
	size, start, err := parseLength(buf)
	if err != nil || start == 0 {
		return nil, 0, err
	}
	if size < 0 {
		return nil, start, nil
	}
	if size > maxBytes || size > maxValueBytes {
		return nil, 0, errTooLong
	}
	end := start + size
	for i, ch := range []byte("\r\n") {
		if end+i >= len(buf) {
			return nil, 0, nil
		}
		if buf[end+i] != ch {
			return nil, 0, errMalformed
		}
	}
	return buf[start:end:end], end + 2, nil
}

// parseLine parses the line after a type byte.
func parseLine(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), maxLineBytes)], '\n')
	switch {
	case end < 0 && len(buf) >= maxLineBytes:
		return nil, 0, errTooLong
	case end < 0:
		return nil, 0, nil
	case end < 2 || buf[end-1] != '\r':
		return nil, 0, errMalformed
	}
	return buf[1 : end-1], end + 1, nil
}

// isPrintable reports whether the text consists of printable ASCII characters.
func isPrintable(text []byte) bool {
	for _, ch := range text {
		if ch < ' ' || ch > '~' {
			return false
		}
	}
	return true
}
