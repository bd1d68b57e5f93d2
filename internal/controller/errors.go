package controller

import "github.com/tamarackbay/tamarackbay/internal/result"

var (
	errDeparted         = result.New(result.ServerDraining, "controller: the engine drains, has left or was started again")
	errEvacuated        = result.New(result.NoBackendServer, "controller: the failure domain of the engine is evacuated")
	errLeaseLost        = result.New(result.LeaseLost, "controller: the lease for weight updates is no longer held")
	errOtherIncarnation = result.New(result.BackendUnreachable, "controller: another incarnation of the backend server answered")
	errLeaving          = result.New(result.ServerDraining, "controller: the engine says that it leaves")
	errLoadTimeout      = result.New(result.SwapFailed, "controller: the engine did not load the weights before the timeout")
	errNoPermit         = result.New(result.ServersLimited, "controller: the rate limit of the engine leaves no call for the order yet")
	errOrderLost        = result.New(result.SwapFailed, "controller: the order to load weights did not reach the engine")
)
