package flooder

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Usage is what a process holds. Peak is the highest resident memory since its start.
type Usage struct {
	Resident, Peak int64 // bytes
	Descriptors    int
}

const bytesPerKilobyte = 1024 // as the kernel counts

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Usage reads what the process holds now.
func (p *Process) Usage() (Usage, error) {
	directory := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	f, err := os.Open(directory + "status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read status of process")
	}
	defer func() { _ = f.Close() }()
	var u Usage
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 2 {
			continue
		}
		n, err := strconv.ParseInt(words[1], 10, 64)
		switch {
		case err != nil:
		case words[0] == "VmRSS:":
			u.Resident = n * bytesPerKilobyte
		case words[0] == "VmHWM:":
			u.Peak = n * bytesPerKilobyte
		}
	}
	list, err := os.ReadDir(directory + "fd")
	if err != nil {
		return Usage{}, errors.Wrap(err, "list descriptors of process")
	}
	u.Descriptors = len(list)
	return u, nil
}
