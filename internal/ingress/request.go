// Package ingress serves requests that are routed by host and path: it finds the
// route and the caller's workspace, picks a backend server, retries where that is
// safe, and reports with each refusal whether the request has run.
package ingress

import (
	"net/http"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/payload"
)

// Request is one attempt of a client.
type Request struct {
	ID            string
	Method        string
	Host          string
	Path          string // without the query
	Target        string // path and query, as the client sent them
	Key           string // "" for none; never sent to a backend server
	Header        http.Header
	Body          payload.Chunks
	Arrived       time.Time     // when its head was received
	Received      time.Time     // when its body was received, zero for Arrived
	ClientTimeout time.Duration // how long the client waits, 0 if unknown
	Resumes       string        // ID of the attempt that brought the first event of the stream, "" if unknown
	ResumeAfter   uint64        // number of the last event that the client received, 0 for none
	Model         string        // "" for requests to plain services
}

// Sink receives the answer of a request: either one call of Complete, or a Begin followed
// by any number of Events and an End.
type Sink struct {
	// Complete sends a complete answer.
	Complete func(an *backend.Answer, body payload.Chunks)
	// Begin sends the head of a stream.
	Begin func(an *backend.Answer)
	// Event sends one event of the stream.
	Event func(ev backend.Event) error
	// End completes the stream. If Serve returns without it, the connection must be cut.
	End func()
}
