package httpcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests like an http.Transport, and returns an error in place of answers that the
// http.Transport takes for whole although they are not.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses a copy of tr. Connections with TLS are not checked.
func NewTransport(tr *http.Transport) *Transport {
	tr = tr.Clone()
	dial := tr.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		co, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return newConn(co), nil
	}

	return &Transport{tr}
}

// RoundTrip sends a request and returns its answer. It returns an error in place of an answer whose head is
// invalid. Reading the answer's body returns an error if the connection ended before the request was written, or
// if the body is in chunks although the head does not say so.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(gi httptrace.GotConnInfo) {
			if co, ok := gi.Conn.(*conn); ok {
				used = co
				used.beginRequest(rq.Method)
			}
		},
		WroteRequest: func(wi httptrace.WroteRequestInfo) {
			if used != nil {
				used.endRequest(wi.Err)
			}
		},
	}

	rs, err := tr.Transport.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err == nil && used != nil {
		wrapUnframed(rs)
	}

	return rs, err
}
