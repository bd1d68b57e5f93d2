package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// recordTimeout bounds how long the first event of a stream waits until a controller has
	// recorded the stream's origin, which usually takes one round trip.
	recordTimeout = 100 * time.Millisecond
	// findTimeout bounds the search for an origin. With 200 ms a refusal took up to 260 ms while
	// controllers restarted.
	findTimeout = 100 * time.Millisecond
	// agreeTimeout bounds how long a search waits for the other controllers once the origin was
	// found, since one of them may know another origin. A controller that is suspended would
	// otherwise delay each resume by findTimeout.
	agreeTimeout = 50 * time.Millisecond
	// sendTimeout bounds one call that records origins.
	sendTimeout = time.Second
	// maxBatch bounds the origins of one such call.
	maxBatch = 1000
	// unknownRetryAfter is when a client is told to come back whose stream is not known here:
	// the gateway may be cut off, or the controllers may just have restarted.
	unknownRetryAfter = 250 * time.Millisecond
)

// Session is a connection to a controller.
type Session struct {
	Record func(ctx context.Context, records []Record) error
	Done   <-chan struct{} // closed when the connection has ended
}

// Config configures a Book.
type Config struct {
	// Connect waits for a connection to the controller at an address.
	Connect func(ctx context.Context, address string) (Session, error)
	// Find asks the controller at an address, and fails at once if there is no connection.
	Find  func(ctx context.Context, address string, qu Query) (Finding, error)
	Meter *meter.Meter
	Log   log.Interface
}

// Book holds the origins that this gateway knows and exchanges them with the controllers. It is
// safe for concurrent use.
type Book struct {
	cfg   Config
	table *Table

	mu      sync.Mutex
	ctx     context.Context // of Run, nil before it is called
	wanted  []string        // addresses of the controllers
	senders map[string]*sender
	wg      sync.WaitGroup
}

// sender sends origins to one controller.
type sender struct {
	cancel      context.CancelFunc
	wake        chan struct{}
	isConnected bool // new origins are queued; before, all of them are yet to be sent
	queue       []*Pending
}

// Pending is an origin that controllers are being told of.
type Pending struct {
	record Record
	once   sync.Once
	done   chan struct{} // closed once a controller has recorded it
}

// NewBook returns a book without origins.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, table: NewTable(maxOwnOrigins), senders: map[string]*sender{}}
}

// Begin records the origin of a stream here and sends it to all controllers. It is called once
// the first event has arrived: an earlier record would name a version of which the client
// receives nothing if that try fails or the client leaves.
func (bo *Book) Begin(re Record) *Pending {
	pe := &Pending{record: re, done: make(chan struct{})}
	bo.table.Add([]Record{pe.record})

	bo.mu.Lock()
	defer bo.mu.Unlock()
	isSent := false
	for _, se := range bo.senders {
		if se.isConnected {
			se.queue, isSent = append(se.queue, pe), true
			se.signal()
		}
	}
	if !isSent {
		bo.cfg.Meter.Count("origins.notRecorded")
		pe.finish()
	}

	return pe
}

func (pe *Pending) finish() { pe.once.Do(func() { close(pe.done) }) }

// Wait returns once a controller has recorded the origin, or none does in time. Then the
// stream begins nevertheless, and can't be taken up elsewhere if this gateway is lost.
func (pe *Pending) Wait(ctx context.Context) {
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-pe.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (se *sender) signal() {
	select {
	case se.wake <- struct{}{}:
	default:
	}
}

// Find returns the origin of a stream, and which backend servers run other software now. It asks
// all controllers, also if this gateway knows the stream: another gateway may have begun an attempt
// with the same ID at another version.
func (bo *Book) Find(ctx context.Context, key Key) (Finding, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := bo.addresses()
	findings := make(chan Finding, len(addresses))
	for _, a := range addresses {
		go func() {
			fi, err := bo.cfg.Find(ctx, a, Query{Key: key})
			if err != nil {
				fi = Finding{}
			}
			findings <- fi
		}()
	}
	known := bo.table.Find(key)
	var agreed <-chan time.Time
	for left := len(addresses); left > 0 && !known.IsAmbiguous; left-- {
		if known.IsFound && agreed == nil {
			timer := time.NewTimer(agreeTimeout)
			defer timer.Stop()
			agreed = timer.C
		}
		select {
		case fi := <-findings:
			known = known.merge(fi)
		case <-agreed:
			left = 0
		}
	}
	switch {
	case known.IsFound:
		return known, nil
	case known.IsAmbiguous:
		bo.cfg.Meter.Count("origins.ambiguous")

		return Finding{}, result.New(result.OriginUnknown, "origin: attempts with the same ID began at several software versions").
			WithRetryAfter(unknownRetryAfter)
	}
	bo.cfg.Meter.Count("origins.unknown")

	return Finding{}, result.New(result.OriginUnknown, "origin: none of %d controllers knows which software version began the stream", len(addresses)).
		WithRetryAfter(unknownRetryAfter)
}

// merge returns what two findings of the same stream say together.
func (fi Finding) merge(other Finding) Finding {
	switch {
	case fi.IsAmbiguous || other.IsAmbiguous || (fi.IsFound && other.IsFound && fi.Origin != other.Origin):
		return Finding{IsAmbiguous: true}
	case fi.IsFound:
		fi.OtherSoftware = slices.Concat(fi.OtherSoftware, other.OtherSoftware)

		return fi
	}

	return other
}

func (bo *Book) addresses() []string {
	bo.mu.Lock()
	defer bo.mu.Unlock()

	var out []string
	for a := range bo.senders {
		out = append(out, a)
	}

	return out
}

// Run exchanges origins with the controllers until ctx ends.
func (bo *Book) Run(ctx context.Context) {
	bo.mu.Lock()
	bo.ctx = ctx
	wanted := bo.wanted
	bo.mu.Unlock()
	bo.SetControllers(wanted)
	<-ctx.Done()
	bo.wg.Wait()
}

// SetControllers sets the addresses of the controllers. Before Run it takes effect with Run.
func (bo *Book) SetControllers(addresses []string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()

	bo.wanted = addresses
	if bo.ctx == nil || bo.ctx.Err() != nil {
		return
	}
	for _, a := range addresses {
		if bo.senders[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(bo.ctx)
		se := &sender{cancel: cancel, wake: make(chan struct{}, 1)}
		bo.senders[a] = se
		bo.wg.Go(func() { bo.sendLoop(ctx, a, se) })
	}
	for a, se := range bo.senders {
		if !slices.Contains(addresses, a) {
			se.cancel()
			delete(bo.senders, a)
		}
	}
}

// sendLoop keeps the controller at an address up to date: it sends all origins over each new
// connection, and then each new one.
func (bo *Book) sendLoop(ctx context.Context, address string, se *sender) {
	for ctx.Err() == nil {
		ses, err := bo.cfg.Connect(ctx, address)
		if err != nil {
			continue // ctx has ended
		}
		bo.mu.Lock()
		se.isConnected, se.queue = true, nil
		bo.mu.Unlock()
		err = bo.serve(ctx, ses, se)
		bo.mu.Lock()
		se.isConnected = false
		lost := se.queue
		se.queue = nil
		bo.mu.Unlock()
		for _, pe := range lost {
			pe.finish()
		}
		if err != nil && ctx.Err() == nil {
			bo.cfg.Log.WithError(err).WithField("controller", address).Warn("origins of streams not recorded, all are sent again")
			select {
			case <-time.After(unknownRetryAfter):
			case <-ctx.Done():
			}
		}
	}
}

// serve sends origins over one connection until it ends.
func (bo *Book) serve(ctx context.Context, ses Session, se *sender) error {
	for batch := range slices.Chunk(bo.table.records(), maxBatch) {
		if err := sendBatch(ctx, ses, batch); err != nil {
			return err
		}
	}
	for {
		bo.mu.Lock()
		batch := se.queue[:min(len(se.queue), maxBatch)]
		se.queue = se.queue[len(batch):]
		bo.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-se.wake:
				continue
			case <-ses.Done:
				return nil
			case <-ctx.Done():
				return nil
			}
		}
		records := make([]Record, len(batch))
		for i, pe := range batch {
			records[i] = pe.record
		}
		err := sendBatch(ctx, ses, records)
		for _, pe := range batch {
			pe.finish()
		}
		if err != nil {
			return err
		}
	}
}

func sendBatch(ctx context.Context, ses Session, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	return ses.Record(ctx, records)
}
