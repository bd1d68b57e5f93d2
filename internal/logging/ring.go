package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// ringLines wait for the writer; further ones are dropped, failures last.
	ringLines = 4096
	// successLines of the ring may be taken by lines of routine success.
	successLines = ringLines * 3 / 4
	// batchPeriod is how long lines are gathered before they are written together.
	batchPeriod = 100 * time.Millisecond
	// dropPeriod is how often dropped lines are told.
	dropPeriod = time.Second
)

// Ring writes log lines behind the back of those that log them: it never blocks
// them, and drops what there is no room for.
type Ring struct {
	w       io.Writer
	entries chan *log.Entry
	dropped atomic.Int64
	done    chan struct{}
	stop    sync.Once
	ended   sync.WaitGroup
}

// NewRing returns a ring that writes JSON lines to w until Close.
func NewRing(w io.Writer) *Ring {
	ri := &Ring{w: w, entries: make(chan *log.Entry, ringLines), done: make(chan struct{})}
	ri.ended.Add(1)
	go ri.run()

	return ri
}

// HandleLog takes a line.
func (ri *Ring) HandleLog(en *log.Entry) error {
	if en.Level <= log.InfoLevel && len(ri.entries) > successLines {
		ri.dropped.Add(1)

		return nil
	}
	select {
	case ri.entries <- en:
	default:
		ri.dropped.Add(1)
	}

	return nil
}

// Dropped returns how many lines were dropped so far.
func (ri *Ring) Dropped() int64 { return ri.dropped.Load() }

// Close writes what waits and ends the ring.
func (ri *Ring) Close() {
	ri.stop.Do(func() { close(ri.done) })
	ri.ended.Wait()
}

func (ri *Ring) run() {
	defer ri.ended.Done()

	var buf bytes.Buffer
	enc := json.New(&buf)
	told, toldAt := int64(0), time.Now()
	for {
		closing := false
		select {
		case en := <-ri.entries:
			_ = enc.HandleLog(en) // a line that cannot be encoded has no better place
			if en.Level <= log.InfoLevel {
				select {
				case <-time.After(batchPeriod):
				case <-ri.done:
				}
			}
		case <-ri.done:
			closing = true
		}
		ri.drain(enc)
		if n := ri.dropped.Load(); n > told && time.Since(toldAt) > dropPeriod {
			_ = enc.HandleLog(&log.Entry{
				Level: log.WarnLevel, Message: "log lines dropped", Timestamp: time.Now(), Fields: log.Fields{"lines": n - told},
			})
			told, toldAt = n, time.Now()
		}
		_, _ = ri.w.Write(buf.Bytes()) // standard output is all there is to write to
		buf.Reset()
		if closing {
			return
		}
	}
}

func (ri *Ring) drain(enc *json.Handler) {
	for {
		select {
		case en := <-ri.entries:
			_ = enc.HandleLog(en)
		default:
			return
		}
	}
}

// NewWith returns a logger of level and above that hands its lines to handler.
func NewWith(handler log.Handler, level, program, name string) log.Interface {
	lo := &log.Logger{Handler: handler, Level: log.InfoLevel}
	if l, err := log.ParseLevel(level); err == nil {
		lo.Level = l
	}

	return lo.WithFields(log.Fields{"program": program, "name": name})
}
