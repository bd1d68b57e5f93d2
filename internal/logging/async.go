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
	// maxBufferedLines is the number of lines that the buffer holds. Further lines are
	// dropped.
	maxBufferedLines = 4096
	// maxInfoLines is the number of buffered lines above which lines of level info and
	// below are dropped, so that warnings and errors still find space.
	maxInfoLines = maxBufferedLines * 3 / 4
	// batchPeriod is how long lines are collected before they are written together. A
	// warning or an error is written without this delay.
	batchPeriod = 100 * time.Millisecond
	// dropReportPeriod is the minimum time between two reports of dropped lines.
	dropReportPeriod = time.Second
)

// AsyncHandler is a log handler that buffers lines and writes them in the background. It
// never blocks its callers; lines that don't fit into the buffer are dropped.
type AsyncHandler struct {
	w       io.Writer
	entries chan *log.Entry
	dropped atomic.Int64
	done    chan struct{}
	stop    sync.Once
	loop    sync.WaitGroup
}

// NewAsyncHandler returns an AsyncHandler that writes JSON lines to w until Close is called.
func NewAsyncHandler(w io.Writer) *AsyncHandler {
	ah := &AsyncHandler{w: w, entries: make(chan *log.Entry, maxBufferedLines), done: make(chan struct{})}
	ah.loop.Add(1)
	go ah.writeLoop()

	return ah
}

// HandleLog buffers a line or drops it.
func (ah *AsyncHandler) HandleLog(en *log.Entry) error {
	if en.Level <= log.InfoLevel && len(ah.entries) > maxInfoLines {
		ah.dropped.Add(1)

		return nil
	}
	select {
	case ah.entries <- en:
	default:
		ah.dropped.Add(1)
	}

	return nil
}

// Dropped returns the number of lines dropped so far.
func (ah *AsyncHandler) Dropped() int64 { return ah.dropped.Load() }

// Close writes the buffered lines and stops the background writer.
func (ah *AsyncHandler) Close() {
	ah.stop.Do(func() { close(ah.done) })
	ah.loop.Wait()
}

// writeLoop writes the buffered lines in batches, and the number of dropped lines,
// until the handler is closed.
func (ah *AsyncHandler) writeLoop() {
	defer ah.loop.Done()

	var buf bytes.Buffer
	enc := json.New(&buf)
	reported, reportedAt := int64(0), time.Now()
	for {
		closing := false
		select {
		case en := <-ah.entries:
			_ = enc.HandleLog(en) // an encoding error can't be logged anywhere
			if en.Level <= log.InfoLevel {
				select {
				case <-time.After(batchPeriod):
				case <-ah.done:
				}
			}
		case <-ah.done:
			closing = true
		}
		ah.encodeBuffered(enc)
		if n := ah.dropped.Load(); n > reported && time.Since(reportedAt) > dropReportPeriod {
			_ = enc.HandleLog(&log.Entry{
				Level: log.WarnLevel, Message: "log lines dropped", Timestamp: time.Now(), Fields: log.Fields{"lines": n - reported},
			})
			reported, reportedAt = n, time.Now()
		}
		_, _ = ah.w.Write(buf.Bytes()) // a failed write can't be logged anywhere
		buf.Reset()
		if closing {
			return
		}
	}
}

// encodeBuffered encodes all lines that are buffered.
func (ah *AsyncHandler) encodeBuffered(enc *json.Handler) {
	for {
		select {
		case en := <-ah.entries:
			_ = enc.HandleLog(en)
		default:
			return
		}
	}
}

// NewWithHandler returns a logger that passes lines of level and above to handler. An
// unknown level means info.
func NewWithHandler(handler log.Handler, level, program, name string) log.Interface {
	lo := &log.Logger{Handler: handler, Level: log.InfoLevel}
	if l, err := log.ParseLevel(level); err == nil {
		lo.Level = l
	}

	return lo.WithFields(log.Fields{"program": program, "name": name})
}
