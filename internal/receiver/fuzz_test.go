package receiver

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// FuzzParse guards against a header or target that makes the parser panic, or that is
// accepted although a value is outside the protocol.
func FuzzParse(f *testing.F) {
	f.Add("GET /services/quotes/x HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST /services/quotes?x HTTP/1.1\r\nHost: a\r\nPeridot-Tenant: band\r\nPeridot-Timeout: 1s\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReaderSize(strings.NewReader(text), maxHeaderBytes)) != nil {
			return
		}
		const maxTimeout = 30 * time.Second
		now := time.Unix(0, 0)
		q, problem := parse(&h, string(h.RequestURI()), maxTimeout, now)
		if problem != nil {
			if problem.Status < 400 || problem.Status > 499 || problem.Code == "" || problem.Message == "" {
				t.Fatalf("problem %+v is not a complete refusal", problem)
			}
			return
		}
		if left := q.Deadline.Sub(now); left <= 0 || left > maxTimeout {
			t.Fatalf("time left is %v", left)
		}
		if !validName(q.Service) || q.Tenant != "" && !validName(q.Tenant) {
			t.Fatalf("service %q, tenant %q", q.Service, q.Tenant)
		}
		if q.Class != ClassUrgent && q.Class != ClassNormal {
			t.Fatalf("class %q", q.Class)
		}
		if !strings.HasPrefix(q.Path, "/") || strings.ContainsAny(q.Path, " \r\n\t\x00#") {
			t.Fatalf("path %q", q.Path)
		}
		for _, header := range q.Headers {
			if strings.ContainsAny(header.Name+header.Value, "\r\n\x00") {
				t.Fatalf("header %q: %q", header.Name, header.Value)
			}
		}
	})
}
