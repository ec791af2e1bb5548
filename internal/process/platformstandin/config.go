package platformstandin

import (
	"time"

	"chestnutstack/internal/version/platformpb"
)

// Config holds the limits of a stand-in; a zero field takes its default.
type Config struct {
	// AppendRate bounds the appends a second, over all streams; 500 by default.
	AppendRate float64
	// SyncDelay is how long a synced write takes; 3 ms by default, none if negative.
	SyncDelay time.Duration
	// RetainRecords, RetainBytes and RetainAge bound what a stream keeps.
	RetainRecords int
	RetainBytes   int
	RetainAge     time.Duration
	// ListLag is how old the list of instances is without any fault.
	ListLag time.Duration
	// Instances are on the list from the start.
	Instances []*platformpb.Instance
}

const (
	defaultAppendRate    = 500
	defaultSyncDelay     = 3 * time.Millisecond
	defaultRetainRecords = 100_000
	defaultRetainBytes   = 64 << 20
	defaultRetainAge     = 24 * time.Hour

	maxStreams       = 256
	maxStreamName    = 200
	maxRecordBytes   = 1 << 20
	maxAppendRecords = 10_000
	maxAppendBytes   = 4 << 20
	maxReadRecords   = 10_000
	maxReadBytes     = 4 << 20
	maxReadWait      = time.Minute
	maxCalls         = 10_000
	maxInstances     = 40_000
	maxInstanceBytes = 4 << 10
	maxListChanges   = 100_000
	maxListLag       = 10 * time.Minute
	// An append that would wait longer than this for its turn is refused before any effect.
	maxAppendWait = 2 * time.Second
)

func (cfg Config) withDefaults() Config {
	if cfg.AppendRate <= 0 {
		cfg.AppendRate = defaultAppendRate
	}
	if cfg.SyncDelay == 0 {
		cfg.SyncDelay = defaultSyncDelay
	}
	if cfg.RetainRecords <= 0 {
		cfg.RetainRecords = defaultRetainRecords
	}
	if cfg.RetainBytes <= 0 {
		cfg.RetainBytes = defaultRetainBytes
	}
	if cfg.RetainAge <= 0 {
		cfg.RetainAge = defaultRetainAge
	}
	return cfg
}
