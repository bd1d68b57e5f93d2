package meter

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Fetch reads the counters and gauges of the node that serves its metrics at address.
func Fetch(ctx context.Context, hc *http.Client, address string) (map[string]int64, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, result.New(result.MalformedBody, "meter: %v", err)
	}
	rs, err := hc.Do(rq)
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "meter: can't fetch the metrics of %s: %v", address, err)
	}
	defer rs.Body.Close()

	return ReadText(rs.Body)
}

// ReadText parses the counters and gauges in the output of WriteText. The names have
// underscores and no prefix. Lines with labels, such as those of histograms, are
// skipped.
func ReadText(r io.Reader) (map[string]int64, error) {
	out := map[string]int64{}
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "tamarackbay_")
		if !ok || strings.Contains(line, "{") {
			continue
		}
		name, value, _ := strings.Cut(line, " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, result.New(result.MalformedBody, "meter: invalid value of metric %s: %v", name, err)
		}
		out[name] = int64(v)
	}

	return out, sc.Err()
}
