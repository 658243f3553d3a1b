package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// RequestTimeout bounds the work on one operator's request. It exceeds the time that a
// lost store answer takes to resolve.
const RequestTimeout = 30 * time.Second

// maxRequestSize bounds a request's body, in bytes. A configuration is at most
// configurator.MaxTextSize before it is encoded.
const maxRequestSize = 4 << 20

// connectionTimeout bounds the reading of a request and the writing of an answer.
const connectionTimeout = 10 * time.Second

// maxConnections bounds the operators' connections.
const maxConnections = 64

// defaultHistoryLimit is the number of history records that are shown unless asked for.
const defaultHistoryLimit = 20

// nameBody is the body of requests that concern one job or host.
type nameBody struct{ Name string }

// route is one path under /admin/.
type route struct {
	method string
	path   string
	work   func(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error)
}

// routes is the table of all paths.
var routes = []route{
	{fasthttp.MethodPost, "config/apply", applyConfiguration},
	{fasthttp.MethodGet, "config/show", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ShowConfiguration(ctx)
	}},
	{fasthttp.MethodGet, "config/history", configurationHistory},
	{fasthttp.MethodPost, "job/submit", submitJob},
	{fasthttp.MethodPost, "job/cancel", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return b.CancelJob(ctx, name)
	})},
	{fasthttp.MethodGet, "job/list", listJobs},
	{fasthttp.MethodGet, "job/show", withParameter("name", func(ctx context.Context, b Backend, name string) (any, error) {
		return b.ShowJob(ctx, name)
	})},
	{fasthttp.MethodGet, "service/list", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ListServices(ctx)
	}},
	{fasthttp.MethodGet, "service/show", withParameter("name", func(ctx context.Context, b Backend, name string) (any, error) {
		return b.ShowService(ctx, name)
	})},
	{fasthttp.MethodGet, "host/list", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ListHosts(ctx)
	}},
	{fasthttp.MethodPost, "host/drain", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return struct{}{}, b.DrainHost(ctx, name, false)
	})},
	{fasthttp.MethodPost, "host/undrain", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return struct{}{}, b.DrainHost(ctx, name, true)
	})},
	{fasthttp.MethodGet, "explain", withParameter("id", func(ctx context.Context, b Backend, id string) (any, error) {
		return b.Explain(ctx, id)
	})},
	{fasthttp.MethodGet, "status", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.Status(ctx)
	}},
}

// NewServer returns an HTTP server for operators. The caller serves and shuts it down.
// ctx ends the work of requests that are still running.
func NewServer(ctx context.Context, b Backend) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "peridotpitch",
		Handler:               func(q *fasthttp.RequestCtx) { handle(ctx, b, q) },
		ReadTimeout:           connectionTimeout,
		WriteTimeout:          connectionTimeout,
		MaxRequestBodySize:    maxRequestSize,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
}

func handle(ctx context.Context, b Backend, q *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	answer, err := find(q)(ctx, b, q)
	if err != nil {
		e := translate(err)
		write(q, statusOf(e.Code), struct{ Error *Error }{e})
		return
	}
	write(q, fasthttp.StatusOK, answer)
}

// find returns the work of the request's route, or work that reports what is allowed.
func find(q *fasthttp.RequestCtx) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	path, ok := strings.CutPrefix(string(q.Path()), "/admin/")
	for _, r := range routes {
		if !ok || r.path != path {
			continue
		}
		if string(q.Method()) != r.method {
			return refuse(CodeBadRequest, "/admin/%s accepts %s only", path, r.method)
		}
		return r.work
	}
	return refuse(CodeNotFound, "path %s does not exist", q.Path())
}

func refuse(code Code, format string, args ...any) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
		return nil, &Error{Code: code, Message: fmt.Sprintf(format, args...)}
	}
}

func write(q *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		q.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	q.SetStatusCode(status)
	q.SetContentType("application/json")
	q.SetBody(body)
}

// read decodes the body strictly, so that a misspelt field is not silently dropped.
func read(q *fasthttp.RequestCtx, v any) error {
	d := json.NewDecoder(bytes.NewReader(q.PostBody()))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON value")
	}
	return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("body is not the expected JSON: %v", err)}
}

func withBodyName(f func(context.Context, Backend, string) (any, error)) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
		var body nameBody
		if err := read(q, &body); err != nil {
			return nil, err
		}
		if body.Name == "" {
			return nil, &Error{Code: CodeBadRequest, Message: "field Name is missing"}
		}
		return f(ctx, b, body.Name)
	}
}

func withParameter(name string, f func(context.Context, Backend, string) (any, error)) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
		v := string(q.QueryArgs().Peek(name))
		if v == "" {
			return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("parameter %s is missing", name)}
		}
		return f(ctx, b, v)
	}
}

func applyConfiguration(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
	var s publisher.Submission
	if err := read(q, &s); err != nil {
		return nil, err
	}
	return b.ApplyConfiguration(ctx, s)
}

// jobNamePattern bounds names because journals, which hold them, are at most 1 MB, and
// keeps log lines and tables readable.
var jobNamePattern = regexp.MustCompile(`^[A-Za-z0-9._:/@+-]{1,128}$`)

func submitJob(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
	var spec scheduler.JobSpec
	if err := read(q, &spec); err != nil {
		return nil, err
	}
	if spec.Name == "" || spec.Class == "" || spec.Team == "" {
		return nil, &Error{Code: CodeBadRequest, Message: "fields Name, Class and Team are required"}
	}
	if !jobNamePattern.MatchString(spec.Name) {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("job name %.200q is not accepted; allowed: letters, digits and . _ : / @ + - , at most 128 bytes", spec.Name)}
	}
	if d := spec.Declared; d.Cores < 0 || d.Memory < 0 || d.Accelerators < 0 || spec.Duration < 0 {
		return nil, &Error{Code: CodeBadRequest, Message: "Declared and Duration must not be negative"}
	}
	return b.SubmitJob(ctx, spec)
}

func configurationHistory(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
	limit, err := limitParameter(q, defaultHistoryLimit, publisher.HistoryLimit)
	if err != nil {
		return nil, err
	}
	return b.ConfigurationHistory(ctx, limit)
}

// jobStates are the values of the parameter state.
var jobStates = []scheduler.JobState{
	scheduler.JobPending, scheduler.JobStarting, scheduler.JobRunning, scheduler.JobEvicting, scheduler.JobCanceling,
	scheduler.JobFinished, scheduler.JobFailed, scheduler.JobCancelled, scheduler.JobRejected,
}

// ParseJobState returns the state with the given text.
func ParseJobState(text string) (scheduler.JobState, error) {
	names := make([]string, len(jobStates))
	for i, s := range jobStates {
		if string(s) == text {
			return s, nil
		}
		names[i] = string(s)
	}
	return "", &Error{Code: CodeBadRequest, Message: fmt.Sprintf("job state %q is not accepted; allowed: %s", text, strings.Join(names, ", "))}
}

// MaxJobLimit bounds the number of jobs in one answer.
const MaxJobLimit = 50000

func listJobs(ctx context.Context, b Backend, q *fasthttp.RequestCtx) (any, error) {
	f := JobFilter{Team: string(q.QueryArgs().Peek("team"))}
	var err error
	if text := string(q.QueryArgs().Peek("state")); text != "" {
		if f.State, err = ParseJobState(text); err != nil {
			return nil, err
		}
	}
	if f.Limit, err = limitParameter(q, DefaultJobLimit, MaxJobLimit); err != nil {
		return nil, err
	}
	return b.ListJobs(ctx, f)
}

func limitParameter(q *fasthttp.RequestCtx, standard, most int) (int, error) {
	text := string(q.QueryArgs().Peek("limit"))
	if text == "" || text == "0" {
		return standard, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		return 0, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("parameter limit %q is not accepted; allowed: 1 to %d", text, most)}
	}
	return n, nil
}

// translate gives each error of the Backend a code. An error that says that a write
// may have taken effect never becomes one that says that it has not.
func translate(err error) *Error {
	var typed *Error
	var refused *configurator.RefusedError
	var lost *publisher.LostRaceError
	var unchanged *publisher.NotAppliedError
	var unknown *publisher.UnknownError
	var unavailable *storer.UnavailableError
	var limited *storer.RateLimitedError
	var lostAnswer *storer.UnknownOutcomeError
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &refused):
		e := &Error{Code: CodeRefused, Message: err.Error(), Reason: refused.Reason}
		if refused.Invalid != nil {
			e.Faults = refused.Invalid.Faults
			e.Message = fmt.Sprintf("configuration refused: %s, %d faults", refused.Reason, len(e.Faults))
		}
		return e
	case errors.As(err, &lost):
		return &Error{Code: CodeLostRace, Message: err.Error(), Winner: lost.AppliedBy, Diff: lost.Diff}
	case errors.As(err, &unknown):
		return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
	case errors.As(err, &unchanged):
		return &Error{Code: CodeUnavailable, Message: err.Error()}
	case errors.As(err, &lostAnswer), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
	case errors.As(err, &unavailable), errors.As(err, &limited):
		return &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}

func statusOf(c Code) int {
	switch c {
	case CodeBadRequest:
		return fasthttp.StatusBadRequest
	case CodeNotFound:
		return fasthttp.StatusNotFound
	case CodeRefused:
		return fasthttp.StatusUnprocessableEntity
	case CodeLostRace:
		return fasthttp.StatusConflict
	case CodeUnavailable:
		return fasthttp.StatusServiceUnavailable
	case CodeUnknownOutcome:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusInternalServerError
}
