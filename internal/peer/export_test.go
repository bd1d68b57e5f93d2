package peer

import "time"

// RedialPause exposes redialPause to the tests.
func (c *Config) RedialPause(shortSessions int, random float64) time.Duration {
	return c.redialPause(shortSessions, random)
}
