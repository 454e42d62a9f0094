package follower

import "time"

// Other is another process, as it says of itself.
type Other struct {
	Process string

	// Watching is set while the process reads the list of targets regularly
	// and gets it.
	Watching bool
}

const (
	// watchers is the number of processes that watch: enough that one which
	// is lost or cut off leaves one.
	watchers = 2

	// WatchAge is how old the last reading may be of a process that counts
	// as watching: one interval and a slow answer.
	WatchAge = defaultInterval + 300*time.Millisecond
)

// Needed tells whether a process has to watch the platform, as too few of those
// that come before it by name do.
func Needed(process string, others []Other) bool {
	watching := 0
	for _, o := range others {
		if o.Watching && o.Process < process {
			watching++
		}
	}
	return watching < watchers
}
