package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/tamarackbay/tamarackbay/internal/ctl"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// exitCode prints err, unless it is ErrDiffers, and returns its exit code.
func exitCode(err error) int {
	if err == nil {
		return 0
	}

	var refused *ctl.Refusal
	var numbered *result.Error
	switch {
	case errors.Is(err, ctl.ErrDiffers):
		return exitDiffers
	case errors.As(err, &refused):
		fmt.Fprintf(os.Stderr, "tamarackbay: refused: %v\n", err)

		return exitRefused
	case errors.As(err, &numbered):
		fmt.Fprintf(os.Stderr, "tamarackbay: %v\n", numbered)
		if numbered.Code == result.InvalidSettings || numbered.Code == result.InvalidDeclaration {
			return exitSettings
		}

		return exitFailed
	}
	fmt.Fprintf(os.Stderr, "tamarackbay: %v\n", err)

	return exitFailed
}
