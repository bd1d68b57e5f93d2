package peer

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// Links holds one link for each address, from its first use until Close.
type Links struct {
	ctx    context.Context
	cancel context.CancelFunc
	cfg    Config
	wg     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*Link
	isClosed bool // no more links are started
}

// NewLinks returns links that end with ctx or Close.
func NewLinks(ctx context.Context, cfg Config) *Links {
	ctx, cancel := context.WithCancel(ctx)

	return &Links{ctx: ctx, cancel: cancel, cfg: cfg, links: map[string]*Link{}}
}

// To returns the link to address, and starts it on its first use. After Close or Wait a new link gets no
// session.
func (ls *Links) To(address string) *Link {
	ls.mu.Lock()
	defer ls.mu.Unlock()

	if li, ok := ls.links[address]; ok {
		return li
	}

	li := NewLink(address, ls.cfg, nil)
	ls.links[address] = li
	if !ls.isClosed {
		ls.wg.Go(func() { li.Run(ls.ctx) })
	}

	return li
}

// Close ends all links and waits for them.
func (ls *Links) Close() {
	ls.cancel()
	ls.Wait()
}

// Wait returns once all links have ended, which they do after ctx.
func (ls *Links) Wait() {
	ls.mu.Lock()
	ls.isClosed = true
	ls.mu.Unlock()
	ls.wg.Wait()
}

// Call waits for the session to address and calls a method on it.
func (ls *Links) Call(ctx context.Context, address, method string, req, rep Message) error {
	se, err := ls.To(address).Wait(ctx)
	if err != nil {
		return err
	}

	return se.Call(ctx, method, req, rep)
}

// CallReserving is Call for an answer that may be large: reserve is called with the size of a large
// message before it is read, and its error ends the call. A nil reserve is not called.
func (ls *Links) CallReserving(ctx context.Context, address, method string, req, rep Message, reserve func(bytes int64) error) error {
	se, err := ls.To(address).Wait(ctx)
	if err != nil {
		return err
	}

	return se.call(ctx, method, req, rep, reserve)
}

// CallRecord is Call with CBOR records in wire.Payloads.
func (ls *Links) CallRecord(ctx context.Context, address, method string, req, rep any) error {
	b, err := cbor.Marshal(req)
	if err != nil {
		return result.New(result.Internal, "peer: encoding the record of a request: %v", err)
	}
	var pa wire.Payload
	if err := ls.Call(ctx, address, method, &wire.Payload{Record: b}, &pa); err != nil {
		return err
	}
	if err := cbor.Unmarshal(pa.GetRecord(), rep); err != nil {
		return result.New(result.Internal, "peer: decoding the record of a reply: %v", err)
	}

	return nil
}
