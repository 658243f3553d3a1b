package receiver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// servicePrefix is the prefix of the path of every request to a service.
const servicePrefix = "/services/"

// maxNameBytes is the maximum length of the name of a service or tenant.
const maxNameBytes = 64

// Problem describes why a request was refused before it reached the handler.
type Problem struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (p *Problem) Error() string { return p.Code + ": " + p.Message }

func badRequest(format string, args ...any) *Problem {
	return &Problem{fasthttp.StatusBadRequest, "bad-request", fmt.Sprintf(format, args...)}
}

// parse checks the target and the headers of a request and returns the request without its
// identity and body. The timeout is maxTimeout if the caller sets none.
func parse(h *fasthttp.RequestHeader, target string, maxTimeout time.Duration, now time.Time) (Request, *Problem) {
	rest, found := strings.CutPrefix(target, servicePrefix)
	if !found {
		return Request{}, &Problem{fasthttp.StatusNotFound, "not-found", "requests go to " + servicePrefix + "<service>/<path>"}
	}
	if i := strings.IndexFunc(rest, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' }); i >= 0 {
		return Request{}, badRequest("the path contains the character %q", rest[i])
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	q := Request{Service: rest[:end], Path: rest[end:], Method: string(h.Method()), Class: ClassNormal}
	if !strings.HasPrefix(q.Path, "/") {
		q.Path = "/" + q.Path
	}
	if !validName(q.Service) {
		return Request{}, badRequest("service name %q is not valid", q.Service)
	}
	if q.Method == fasthttp.MethodConnect || q.Method == fasthttp.MethodTrace {
		return Request{}, badRequest("method %s is not served", q.Method)
	}
	if problem := q.parseHeaders(h, maxTimeout, now); problem != nil {
		return Request{}, problem
	}
	return q, nil
}

func (q *Request) parseHeaders(h *fasthttp.RequestHeader, maxTimeout time.Duration, now time.Time) *Problem {
	tenant, problem := singleHeader(h, HeaderTenant)
	if problem != nil {
		return problem
	}
	if tenant != "" && !validName(tenant) {
		return badRequest("%s: name %q is not valid", HeaderTenant, tenant)
	}
	q.Tenant = tenant
	class, problem := singleHeader(h, HeaderClass)
	if problem != nil {
		return problem
	}
	switch Class(class) {
	case "", ClassNormal:
	case ClassUrgent:
		q.Class = ClassUrgent
	default:
		return badRequest("%s: %q is neither %s nor %s", HeaderClass, class, ClassUrgent, ClassNormal)
	}
	repeatable, problem := singleHeader(h, HeaderRepeatable)
	if problem != nil {
		return problem
	}
	switch repeatable {
	case "", "false":
	case "true":
		q.Repeatable = true
	default:
		return badRequest("%s: %q is neither true nor false", HeaderRepeatable, repeatable)
	}
	timeout, problem := parseTimeout(h, maxTimeout)
	if problem != nil {
		return problem
	}
	q.Deadline = now.Add(timeout)
	for k, v := range h.All() {
		if name := string(k); !strings.HasPrefix(strings.ToLower(name), "peridot-") {
			q.Headers = append(q.Headers, Header{name, string(v)})
		}
	}
	return nil
}

func parseTimeout(h *fasthttp.RequestHeader, maxTimeout time.Duration) (time.Duration, *Problem) {
	text, problem := singleHeader(h, HeaderTimeout)
	if problem != nil || text == "" {
		return maxTimeout, problem
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, badRequest("%s: %q is not a duration such as 800ms", HeaderTimeout, text)
	}
	if d <= 0 || d > maxTimeout {
		return 0, badRequest("%s: %v is not above 0 and at most %v", HeaderTimeout, d, maxTimeout)
	}
	return d, nil
}

// singleHeader returns the value of a header that may occur at most once, or "" if it is
// absent.
func singleHeader(h *fasthttp.RequestHeader, name string) (string, *Problem) {
	values := h.PeekAll(name)
	if len(values) > 1 {
		return "", badRequest("%s occurs %s times", name, strconv.Itoa(len(values)))
	}
	if len(values) == 0 {
		return "", nil
	}
	return string(values[0]), nil
}

// validName reports whether a name has 1 to maxNameBytes bytes, which are ASCII letters,
// digits, dots, hyphens and underscores, and begins with a letter or digit.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return true
}
