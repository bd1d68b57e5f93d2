package pool

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// States of a backend server as its agent reports them. StateSuspect is also shown for a
// backend server whose agent has not reported for too long.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	StateSuspect  = "suspect"
)

// Server is one incarnation of a backend server, as its agent reports it.
type Server struct {
	announce      *wire.Announce
	session       *peer.Session
	lastLoad      *wire.Load          // nil before the first load report
	heardAt       time.Duration       // time of the last announcement or load report
	loadSequence  uint64              // of the last load report
	cacheEventSeq uint64              // of the last cache event, 0 before the first one and after a gap
	prefixes      map[uint64]struct{} // in its cache, as far as known
	inFlight      map[*Grant]struct{}
	suspectCount  int // suspects in inFlight
	firstSeen     time.Duration
}

// Name returns the name of the backend server.
func (se *Server) Name() string { return se.announce.GetServer() }

// Incarnation returns the number that changes with each start of its agent.
func (se *Server) Incarnation() uint64 { return se.announce.GetIncarnation() }

// Announce returns the announcement of its agent.
func (se *Server) Announce() *wire.Announce { return se.announce }

// Session returns the session to its agent.
func (se *Server) Session() *peer.Session { return se.session }

// Info is the state of a backend server, for operators and for sizing the fleet.
type Info struct {
	Server        string  `json:"server"`
	Incarnation   uint64  `json:"incarnation"`
	Class         string  `json:"class"`
	Serves        string  `json:"serves"`
	FailureDomain string  `json:"failureDomain"`
	State         string  `json:"state"`
	Version       string  `json:"version,omitempty"`
	LoadedVersion string  `json:"loadedVersion,omitempty"`
	Slots         int     `json:"slots"`
	Running       int     `json:"running"`
	InFlight      int     `json:"inFlight"`
	Order         string  `json:"order,omitempty"`
	HeardAgoMs    int64   `json:"heardAgoMs"`
	Failures      float64 `json:"failures"`
	ChecksFencing bool    `json:"checksFencing"`
}
