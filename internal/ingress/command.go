package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"cedarseam/choice"
)

const (
	maxValueBytes   = 64 << 10             // of one argument or value
	maxMessageBytes = maxValueBytes + 4096 // of a whole command or answer, with the largest value
	maxMetricsBytes = 2048                 // of a load report or a usage report
	maxArgs         = 16                   // of a command
	maxOptions      = 64                   // of a request; each costs time to decode
	maxDigits       = 15                   // of a number, including the decimal point
	answerElements  = 3                    // of an answer with a value
	maxUsedPercent  = 10_000               // no customer uses a hundred times its quota
	maxLoadValue    = 100_000              // requests in flight, or milliseconds of latency
)

// nextCommand parses the first command in buf, and returns its arguments, which are
// slices of buf, and its length n. n is 0 while the command is incomplete. A command
// that is too long is rejected by its length line, before its data arrives.
func nextCommand(buf []byte) (args [][]byte, n int, err error) {
	if len(buf) == 0 {
		return nil, 0, nil
	}
	if buf[0] != '*' {
		return nil, 0, errMalformed
	}
	count, at, err := parseLength(buf)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if count < 0 || count > maxArgs {
		return nil, 0, errMalformed
	}
	for range count {
		arg, n, err := parseBulk(buf[at:], maxMessageBytes-at)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		args = append(args, arg)
		at += n
	}
	return args, at, nil
}

// command is a decoded request of a client. All its values are in range: a backend
// would reject invalid ones, and an invalid request must not change the recorded use
// of a customer.
type command struct {
	args                         [][]byte // as the client sent them
	timeLimitStart, timeLimitEnd int      // the position of the value of d in the options
	class, plan                  int      // indexes into the settings
	customer                     uint64
	requestID                    uint64 // chosen by the client, new with every retry
	timeLimit                    time.Duration
	units                        float64 // drawn from the customer's quota
	spread, first                int     // size and first member of the customer's gateway set
	repeat                       bool    // a retry by the client after another gateway's refusal
}

const (
	optionsArg  = 3       // index of the options among the arguments
	maxCustomer = 1 << 33 // customer numbers are below this
)

// parseCommand decodes a Q.ASK or Q.DO. The text of its error is sent to the client.
func (cfg *Config) parseCommand(args [][]byte) (*command, error) {
	isAsk := equalFold(args[0], "Q.ASK")
	switch {
	case !isAsk && !equalFold(args[0], "Q.DO"):
		return nil, errors.New("unknown command")
	case isAsk && len(args) != 4 || !isAsk && len(args) != 5:
		return nil, errors.New("wrong number of arguments")
	}
	for _, a := range args {
		if len(a) > maxValueBytes {
			return nil, errTooLong
		}
	}
	c := &command{args: args}
	var err error
	if c.customer, err = parseHex(args[1]); err != nil || c.customer >= maxCustomer {
		return nil, errors.New("bad customer")
	}
	if c.requestID, err = parseHex(args[2]); err != nil {
		return nil, errors.New("bad request id")
	}
	gateways := max(1, cfg.Choice.Gateways)
	var seen option
	options := args[optionsArg]
	if bytes.Count(options, []byte(",")) >= maxOptions {
		return nil, errors.New("too many options")
	}
	for start := 0; start <= len(options); {
		end := len(options)
		if i := bytes.IndexByte(options[start:], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := strings.Cut(string(options[start:end]), "=")
		if !ok {
			return nil, errors.New("bad options")
		}
		opt := optionNames[name]
		if seen&opt != 0 { // a backend might use either of the two values
			return nil, fmt.Errorf("%s stands twice", name)
		}
		seen |= opt
		switch opt {
		case optClass:
			if c.class, ok = cfg.classes[value]; !ok {
				return nil, errors.New("unknown class")
			}
		case optPlan:
			if c.plan, ok = cfg.plans[value]; !ok {
				return nil, errors.New("unknown plan")
			}
		case optTimeLimit:
			var ms float64
			ms, err = parseDecimal(value)
			if err == nil && ms < 1 {
				err = errMalformed
			}
			c.timeLimit = time.Duration(min(ms, math.MaxInt32) * float64(time.Millisecond))
			c.timeLimitStart, c.timeLimitEnd = start+len("d="), end
		case optUnits:
			c.units, err = parseDecimal(value)
			if maxUnits := cfg.Choice.MaxUnits; err == nil && (c.units <= 0 || maxUnits > 0 && c.units > maxUnits) {
				err = errMalformed
			}
		case optSpread:
			c.spread, err = parseCount(value, 1, gateways)
		case optFirst:
			c.first, err = parseCount(value, 0, gateways-1)
		case optRepeat:
			var r int
			r, err = parseCount(value, 0, 1)
			c.repeat = r == 1
		}
		if err != nil {
			return nil, fmt.Errorf("bad value of %s", name)
		}
		start = end + 1
	}
	switch {
	case seen&optRequired != optRequired:
		return nil, errors.New("class, plan, time limit, units or set is missing")
	case isAsk != (cfg.Choice.Classes[c.class].Effect == choice.Free):
		return nil, errors.New("the command does not serve this class")
	}
	return c, nil
}

// option is a bit set of the names in the options of a request.
type option uint

const (
	optClass option = 1 << iota
	optPlan
	optTimeLimit
	optUnits
	optSpread
	optFirst
	optRepeat

	optRequired = optRepeat - 1 // all options but optRepeat
)

// optionNames maps the names of the options on the wire.
var optionNames = map[string]option{"c": optClass, "t": optPlan, "d": optTimeLimit,
	"units": optUnits, "spread": optSpread, "first": optFirst, "r": optRepeat}

// equalFold reports whether a is the name of the command, in any case.
func equalFold(a []byte, name string) bool { return strings.EqualFold(string(a), name) }

// parseHex parses exactly 16 hexadecimal digits.
func parseHex(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errMalformed
	}
	return strconv.ParseUint(string(b), 16, 64)
}

// parseDecimal parses digits with at most one decimal point among them. Other notations
// of a float are invalid: sign, exponent, infinity, hexadecimal and underscores.
func parseDecimal(s string) (float64, error) {
	integer, fraction, hasPoint := strings.Cut(s, ".")
	if len(s) > maxDigits || !allDigits(integer) || hasPoint && !allDigits(fraction) {
		return 0, errMalformed
	}
	return strconv.ParseFloat(s, 64)
}

// parseCount parses an integer between lower and upper, inclusive.
func parseCount(s string, lower, upper int) (int, error) {
	if len(s) > maxDigits || !allDigits(s) {
		return 0, errMalformed
	}
	v, err := strconv.Atoi(s)
	if err == nil && (v < lower || v > upper) {
		err = errMalformed
	}
	return v, err
}

// allDigits reports whether s consists of at least one ASCII digit and nothing else.
func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return len(s) > 0
}

// maxCopiedArgBytes is the size up to which an argument is copied into the message of an
// attempt. A longer one is written from where it is: each attempt would hold a copy of it for
// as long as its backend does not read.
const maxCopiedArgBytes = 1024

// message returns the command as it is sent to a backend, in parts that are to be written one
// after the other: the client's arguments, with the time limit replaced by the timeout of the
// attempt.
func (c *command) message(timeout time.Duration) (parts [][]byte) {
	const framingBytes = 16 // of an argument or of the array, at most
	size := framingBytes * (len(c.args) + 1)
	for _, a := range c.args {
		if len(a) <= maxCopiedArgBytes {
			size += len(a)
		}
	}
	part := redcon.AppendArray(make([]byte, 0, size), len(c.args))
	for i, a := range c.args {
		if i == optionsArg {
			a = c.optionsWithTimeLimit(timeout)
		}
		if len(a) <= maxCopiedArgBytes {
			part = redcon.AppendBulk(part, a)
			continue
		}
		part = append(part, '$')
		part = strconv.AppendInt(part, int64(len(a)), 10)
		part = append(part, "\r\n"...)
		parts = append(parts, part, a)
		part = []byte("\r\n")
	}
	return append(parts, part)
}

// optionsWithTimeLimit returns the options with the time limit replaced by a timeout.
func (c *command) optionsWithTimeLimit(timeout time.Duration) []byte {
	options := c.args[optionsArg]
	replaced := make([]byte, 0, len(options)+8)
	replaced = append(replaced, options[:c.timeLimitStart]...)
	replaced = strconv.AppendInt(replaced, max(1, timeout.Milliseconds()), 10)
	return append(replaced, options[c.timeLimitEnd:]...)
}

// replyForm is the form of a backend's answer on the wire, as it is logged.
type replyForm string

const (
	formNone      replyForm = "none" // no whole answer was received
	formArray     replyForm = "array"
	formBulk      replyForm = "bulk string"
	formErrorLine replyForm = "error line"
	formLine      replyForm = "line" // a simple string or an integer
	formMalformed replyForm = "malformed"
)

// replyFormOf returns the form of an answer by its type byte.
func replyFormOf(typeByte byte) replyForm {
	switch typeByte {
	case '*':
		return formArray
	case '$':
		return formBulk
	case '-':
		return formErrorLine
	case '+', ':':
		return formLine
	}
	return formMalformed
}

// reply is the answer of a backend to a request or a probe.
type reply struct {
	status   choice.Status
	form     replyForm
	value    []byte      // the value, encoded as a bulk string
	reserved int         // bytes reserved for the value in the memory budget
	metered  bool        // used is valid
	used     float64     // the customer's use over all gateways, see choice.Outcome.Used
	load     choice.Load // the load report; Count is 0 if there was no valid one
}

// nextReply parses the first answer in buf to a request, and returns its length n, which
// is 0 while the answer is incomplete. An error means that more input can't make it valid,
// so that the request need not wait for its deadline, and that the connection can't be
// used again. A request is answered by a value or by an error line, and by nothing else:
// an answer in any other form has no value for the client. The value is a copy.
func (cfg *Config) nextReply(buf []byte) (r reply, n int, err error) {
	r.status = choice.Error
	if len(buf) == 0 {
		return r, 0, nil
	}
	switch buf[0] {
	case '*':
		return cfg.parseValueReply(buf)
	case '-':
		return cfg.parseErrorReply(buf)
	}
	return r, 0, errMalformed
}

// nextProbeReply does the same for the answer to a probe, which is a load report or an
// error line.
func (cfg *Config) nextProbeReply(buf []byte) (r reply, n int, err error) {
	r.status = choice.Error
	if len(buf) == 0 {
		return r, 0, nil
	}
	switch buf[0] {
	case '$':
		report, n, err := parseBulkOrNull(buf, maxMetricsBytes)
		if n > 0 && report != nil {
			r.status = choice.OK
			cfg.parseMetrics(&r, report)
		}
		return r, n, err
	case '-':
		return cfg.parseErrorReply(buf)
	}
	return r, 0, errMalformed
}

// parseErrorReply parses an error line. Metrics may follow its first words. A corrupted
// line is malformed: it is no proof of a refusal, even if it begins with BUSY.
func (cfg *Config) parseErrorReply(buf []byte) (r reply, n int, err error) {
	r.status = choice.Error
	text, n, err := parseLine(buf)
	if n == 0 || err != nil {
		return r, 0, err
	}
	words := bytes.Fields(text)
	if len(words) == 0 || !isPrintable(text) {
		return r, 0, errMalformed
	}
	if string(words[0]) == "BUSY" {
		r.status = choice.Refused
	}
	for _, word := range words {
		cfg.parseMetrics(&r, word)
	}
	return r, n, nil
}

// parseValueReply parses an answer with a value: an array of the value, the usage
// report and the load report. The reports may be null, and are ignored if they are
// invalid: the value is still usable without them.
func (cfg *Config) parseValueReply(buf []byte) (r reply, n int, err error) {
	r.status = choice.Error
	count, n, err := parseLength(buf)
	if err != nil || n == 0 {
		return r, 0, err
	}
	if count != answerElements {
		return r, 0, errMalformed
	}
	value, consumed, err := parseBulkOrNull(buf[n:], maxValueBytes)
	if err != nil || consumed == 0 {
		return r, 0, err
	}
	rawValue := buf[n : n+consumed]
	for n += consumed; count > 1; count-- {
		var metrics []byte
		if n < len(buf) && bytes.IndexByte([]byte("+-:"), buf[n]) >= 0 {
			_, consumed, err = parseLine(buf[n:])
		} else {
			metrics, consumed, err = parseBulkOrNull(buf[n:], maxMetricsBytes)
		}
		if err != nil || consumed == 0 {
			return r, 0, err
		}
		cfg.parseMetrics(&r, metrics)
		n += consumed
	}
	if value != nil {
		r.status, r.value = choice.OK, bytes.Clone(rawValue)
	}
	return r, n, nil
}

// parseMetrics stores metrics such as used=37 or inflight=7,latency_ms=12 in r. If one
// of them is malformed or out of range, all metrics of the list are ignored: they may
// be corrupted too.
func (cfg *Config) parseMetrics(r *reply, metrics []byte) {
	if bytes.IndexByte(metrics, '=') < 0 {
		return
	}
	var parsed reply
	var seen uint
	for pair := range strings.SplitSeq(string(metrics), ",") {
		name, number, _ := strings.Cut(pair, "=")
		value, err := parseDecimal(number)
		if err != nil {
			return
		}
		if name == "used" {
			if parsed.metered || value > maxUsedPercent {
				return
			}
			parsed.metered, parsed.used = true, value/100
		}
		for i, field := range cfg.Choice.ReportFields {
			if field == name && i < len(parsed.load.Values) {
				if seen&(1<<i) != 0 || value > maxLoadValue {
					return
				}
				seen |= 1 << i
				parsed.load.Values[i] = value
			}
		}
	}
	if parsed.metered {
		r.metered, r.used = true, parsed.used
	}
	if n := min(len(cfg.Choice.ReportFields), len(parsed.load.Values)); n > 0 && seen == 1<<n-1 {
		parsed.load.Count = n
		r.load = parsed.load
	}
}
