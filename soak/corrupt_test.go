package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// damagedFolder keeps what a process set aside, inside its data folder.
	damagedFolder = "damaged"
	// setAsideWithin limits how long a process needs after its start until it has set damaged data
	// aside.
	setAsideWithin = 5 * time.Second
)

// corruptions lists the ways in which the data folder of a stopped process is damaged. Each reports
// whether there was something to damage.
var corruptions = []struct {
	name   string
	inject func(dataFolder string) (bool, error)
}{
	{"a flipped bit in a snapshot", func(dir string) (bool, error) { return damageOldest(dir, "group-1/snapshot-*", 1, flip(1)) }},
	{"a truncated snapshot", func(dir string) (bool, error) { return damageOldest(dir, "group-1/snapshot-*", 1, cut) }},
	// The last record of the newest segment can't be told from a write that was cut off.
	{"a flipped bit in a segment of the log", func(dir string) (bool, error) { return damageOldest(dir, "group-1/log-*", 1, flip(0.25)) }},
	{"a truncated segment of the log", func(dir string) (bool, error) { return damageOldest(dir, "group-1/log-*", 2, cut) }},
	{"a flipped bit in the identity", func(dir string) (bool, error) { return damageOldest(dir, "identity.json", 1, flipIdentity) }},
	{"a truncated identity", func(dir string) (bool, error) { return damageOldest(dir, "identity.json", 1, cut) }},
}

// corrupt damages a data folder in one of the ways of corruptions, or in the next that finds
// something to damage, and returns its name: a short run has no snapshots.
func corrupt(dataFolder string, which int) (string, error) {
	for i := range corruptions {
		co := corruptions[(which+i)%len(corruptions)]
		if ok, err := co.inject(dataFolder); ok || err != nil {
			return co.name, err
		}
	}

	return "", nil
}

// damageOldest changes the oldest file that matches pattern, if at least so many match.
func damageOldest(dir, pattern string, atLeast int, change func(b []byte) []byte) (bool, error) {
	paths, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil {
		return false, err
	}
	paths = slices.DeleteFunc(paths, func(p string) bool { return filepath.Ext(p) == ".tmp" })
	if len(paths) < atLeast {
		return false, nil
	}
	slices.Sort(paths)
	b, err := os.ReadFile(paths[0])
	if err != nil || len(b) == 0 {
		return false, err
	}

	return true, os.WriteFile(paths[0], change(b), 0o600)
}

// flip returns a change that flips a random bit in the first share of a file.
func flip(share float64) func(b []byte) []byte {
	return func(b []byte) []byte {
		b[rand.IntN(max(1, int(share*float64(len(b)))))] ^= 1 << rand.IntN(8)

		return b
	}
}

// flipIdentity flips a bit in the first half of the identity, before its checksum.
func flipIdentity(b []byte) []byte {
	b[len(b)/4] ^= 1

	return b
}

func cut(b []byte) []byte { return b[:rand.IntN(len(b))] }

// awaitSetAside waits until the process has set its damaged data aside.
func (pr *process) awaitSetAside(what string) error {
	for began := time.Now(); time.Since(began) < setAsideWithin; time.Sleep(10 * time.Millisecond) {
		if names, err := os.ReadDir(filepath.Join(pr.settings.DataFolder, damagedFolder)); err == nil && len(names) > 0 {
			return nil
		}
	}

	return fmt.Errorf("process %s did not set its data aside within %v after %s", pr.settings.Name, setAsideWithin, what)
}
