package fleetwatcher

import "time"

// PeerState is the state of another process, as reported by that process.
type PeerState struct {
	Process string
	Address string // for requests to it
	Live    bool   // it was heard of recently

	// Configuration is the version of the configuration that it has, or 0.
	Configuration int64

	// Watching is true while the process reads the list of targets at the
	// short interval and its reads succeed.
	Watching bool
}

const (
	// watchers is the number of processes that watch the platform. With two,
	// one remains when the other fails or is disconnected.
	watchers = 2

	// MaxWatchAge is the maximum time since the last read of the list by a process
	// that counts as watching: one interval plus the time for a slow response.
	MaxWatchAge = defaultInterval + 300*time.Millisecond
)

// MustWatch reports whether the named process has to watch the platform,
// because too few of the processes whose names sort before it do.
func MustWatch(process string, others []PeerState) bool {
	watching := 0
	for _, o := range others {
		if o.Watching && o.Process < process {
			watching++
		}
	}
	return watching < watchers
}
