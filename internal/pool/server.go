package pool

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// States of a backend server as its agent reports them.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	StateSuspect  = "suspect"
)

// Server is one incarnation of a backend server, seen through the session of its agent.
type Server struct {
	announce      *wire.Announce
	session       *peer.Session
	lastLoad      *wire.Load
	heardAt       time.Duration
	loadSequence  uint64 // of the last load report
	cacheEventSeq uint64
	prefixes      map[uint64]struct{}
	inFlight      map[*Grant]struct{}
	suspectCount  int
	firstSeen     time.Duration
}

// Name returns the name of the backend server.
func (se *Server) Name() string { return se.announce.GetServer() }

// Incarnation returns the number that changes with each start of its agent.
func (se *Server) Incarnation() uint64 { return se.announce.GetIncarnation() }

// Announce returns what its agent said of it.
func (se *Server) Announce() *wire.Announce { return se.announce }

// Session returns the session to its agent.
func (se *Server) Session() *peer.Session { return se.session }

// Info describes a backend server for operators and for the fleet.
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
