package site

import (
	"log/slog"
	"time"

	"github.com/mangoslip/mangoslip/internal/entry"
)

// The default size of a site, the default lag of its instance list, and the
// number of workers in a rack.
const (
	defaultEntries = 6
	defaultWorkers = 8
	defaultListLag = time.Second
	workersPerRack = 8
)

type settings struct {
	entries, workers, dataCentres int
	text, token, author           string
	listLag, drainWait            time.Duration
	log                           *slog.Logger
}

// defaults returns the settings of a site without options.
func defaults() settings {
	return settings{
		entries: defaultEntries, workers: defaultWorkers, text: servicesText, token: "site", author: "site",
		listLag: defaultListLag, drainWait: entry.DefaultDrainWait / 10,
		log: slog.New(slog.DiscardHandler),
	}
}

// Option configures a site.
type Option func(*settings)

// WithEntries sets the number of entries; the default is 6.
func WithEntries(n int) Option { return func(s *settings) { s.entries = n } }

// WithWorkers sets the number of workers in each data centre; the default is 8.
func WithWorkers(n int) Option { return func(s *settings) { s.workers = n } }

// WithDataCentres runs entries and workers only in the first n data centres of
// the services text; the default is all of them.
func WithDataCentres(n int) Option { return func(s *settings) { s.dataCentres = n } }

// WithText sets the services text, which is the configuration in TOML; the
// default has the services Quotes, Orders and Archive in three data centres.
func WithText(t string) Option { return func(s *settings) { s.text = t } }

// WithListLag sets the lag of the instance list; the default is 1 s.
func WithListLag(d time.Duration) Option { return func(s *settings) { s.listLag = d } }

// WithToken sets the bearer token of operators and peers; the default is
// "site".
func WithToken(t string) Option { return func(s *settings) { s.token = t } }

// WithLogger sets the logger of the entries; the default discards all lines.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.log = l } }

// WithAuthor sets the author of configuration edits; the default is "site".
func WithAuthor(a string) Option { return func(s *settings) { s.author = a } }
