package peer

import (
	"context"
	"slices"
	"sync"
)

// Links keeps one link for each address, from its first use on.
type Links struct {
	ctx context.Context
	cfg Config
	wg  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*keptLink
}

type keptLink struct {
	*Link
	cancel context.CancelFunc
}

// NewLinks returns links that end with ctx.
func NewLinks(ctx context.Context, cfg Config) *Links {
	return &Links{ctx: ctx, cfg: cfg, links: map[string]*keptLink{}}
}

// To returns the link to address.
func (ls *Links) To(address string) *Link {
	ls.mu.Lock()
	defer ls.mu.Unlock()

	if kl, ok := ls.links[address]; ok {
		return kl.Link
	}

	ctx, cancel := context.WithCancel(ls.ctx)
	kl := &keptLink{Link: NewLink(address, ls.cfg, nil), cancel: cancel}
	ls.links[address] = kl
	ls.wg.Add(1)
	go func() {
		defer ls.wg.Done()
		kl.Run(ctx)
	}()

	return kl.Link
}

// Retain ends the links to all other addresses.
func (ls *Links) Retain(addresses []string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()

	for a, kl := range ls.links {
		if !slices.Contains(addresses, a) {
			kl.cancel()
			delete(ls.links, a)
		}
	}
}

// Wait returns once all links have ended, after ctx.
func (ls *Links) Wait() { ls.wg.Wait() }

// Call calls a method at address and waits for its session if need be.
func (ls *Links) Call(ctx context.Context, address, method string, req, rep Message) error {
	se, err := ls.To(address).Wait(ctx)
	if err != nil {
		return err
	}

	return se.Call(ctx, method, req, rep)
}
