package controller

import "github.com/tamarackbay/tamarackbay/internal/result"

var (
	errLeaseLost        = result.New(result.LeaseLost, "controller: the lease is not held any more")
	errOtherIncarnation = result.New(result.BackendUnreachable, "controller: another incarnation answers")
	errLoadTimeout      = result.New(result.SwapFailed, "controller: the weights were not loaded in time")
	errOrderLost        = result.New(result.SwapFailed, "controller: the order has not arrived")
)
