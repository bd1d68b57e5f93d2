// Package handlers serves the HTTP interfaces of callers, trainers and operators. It
// checks and decodes requests, calls the gateway and encodes the answers.
package handlers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/payload"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      result.Code `json:"code"`
	Name      string      `json:"name"`
	Message   string      `json:"message"`
	Execution string      `json:"execution"`
}

func newErrorBody(er *result.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: er.Code, Name: result.Lookup(er.Code).Name, Message: er.Message, Execution: er.Execution.String(),
	}}
}

// writeError answers with a numbered error.
func writeError(w http.ResponseWriter, err error) {
	er := result.From(err)
	if er.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((er.RetryAfter+time.Second-1)/time.Second)))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(er.RetryAfter.Milliseconds(), 10))
	}
	writeJSON(w, result.Lookup(er.Code).Status, newErrorBody(er))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client has disconnected
}

// readBody reads a complete request body. Its memory is held until the request has been answered.
func readBody(bu *intake.Budget, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	li := intake.Limits{BodyBytes: limit}
	body, le, err := payload.Chunks(nil), (*intake.Lease)(nil), intake.CheckHead(r, li)
	if err != nil {
		intake.CloseAfterAnswer(w)
	} else {
		body, le, err = bu.Read(w, r, li)
	}
	if err == nil {
		context.AfterFunc(r.Context(), le.Close) // net/http ends the context with the request
		err = le.Grow(int64(body.Len()))
	}
	if err != nil {
		bu.Refused(err, log.Fields{"client": r.RemoteAddr, "path": r.URL.Path, "announcedBytes": r.ContentLength})

		return nil, err
	}

	return body.TakeJoined(func(bytes int) { le.Shrink(int64(bytes)) }), nil
}

// decodeJSON reads a body that must be one JSON object without unknown fields.
func decodeJSON(b []byte, v any) error {
	de := json.NewDecoder(strings.NewReader(string(b)))
	de.DisallowUnknownFields()
	if err := de.Decode(v); err != nil {
		return result.New(result.MalformedBody, "body: %v", err)
	}
	if _, err := de.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.MalformedBody, "body: text after the end of the object")
	}

	return nil
}

// bearer returns the bearer token of a request, empty if there is none.
func bearer(r *http.Request) string {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}

	return strings.TrimSpace(t)
}

const timeoutHeader = "X-Timeout-Ms"

// callerTimeout returns the shorter of a route's timeout and the caller's own.
func callerTimeout(r *http.Request, timeout time.Duration) (time.Duration, error) {
	v := r.Header.Get(timeoutHeader)
	if v == "" {
		return timeout, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 {
		return 0, result.New(result.InvalidField, "header %s: %q is not a number of milliseconds", timeoutHeader, v)
	}

	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}

// limitHeader refuses requests whose headers are over limit bytes.
func limitHeader(limit int, refuse func(w http.ResponseWriter, err error)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n := len(r.RequestURI)
			for name, values := range r.Header {
				for _, v := range values {
					n += len(name) + len(v)
				}
			}
			if n > limit {
				refuse(w, result.New(result.HeaderTooLarge, "headers of %d bytes are over the limit of %d", n, limit))

				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
