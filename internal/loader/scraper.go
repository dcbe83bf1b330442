package loader

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	scrapeTimeout     = 5 * time.Second
	maxScrapeBytes    = 16 << 20
	roundTripRequests = 21
)

// scraper reads counters of daemons and stand-ins over HTTP.
type scraper struct{ client *http.Client }

func newScraper() *scraper { return &scraper{client: &http.Client{Timeout: scrapeTimeout}} }

// get returns the body of the answer to a GET request. It fails if the body is
// longer than limit bytes.
func (s *scraper) get(ctx context.Context, url string, limit int64) (body []byte, err error) {
	defer func() { err = errors.Wrapf(err, "reading %s", url) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", response.StatusCode)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errors.Newf("the body is over %d bytes", limit)
	}
	return body, err
}

// counters holds the counters of one process by path, such as messages.sent.
type counters map[string]float64

// readCounters returns the counters that a process serves at /debug/vars.
func (s *scraper) readCounters(ctx context.Context, address string) (c counters, err error) {
	body, err := s.get(ctx, "http://"+address+"/debug/vars", maxScrapeBytes)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(body, &tree); err != nil {
		return nil, errors.Wrapf(err, "counters of %s", address)
	}
	c = make(counters)
	c.flatten("", tree)
	return c, nil
}

func (c counters) flatten(prefix string, value any) {
	switch v := value.(type) {
	case float64:
		c[prefix] = v
	case map[string]any:
		for key, child := range v {
			path := key
			if prefix != "" {
				path = prefix + "." + key
			}
			c.flatten(path, child)
		}
	}
}

// roundTrip returns the median round-trip time of a health check, which does no
// work; 0 if none is answered.
func (s *scraper) roundTrip(ctx context.Context, addresses []string) time.Duration {
	var times []time.Duration
	for i := range roundTripRequests {
		address := addresses[i%len(addresses)]
		start := time.Now()
		if _, err := s.get(ctx, "http://"+address+"/healthz", maxScrapeBytes); err == nil {
			times = append(times, time.Since(start))
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
