package testkit

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// QueuedBytes returns the bytes that the kernel holds for all connections to an IPv4 address that a process listens on, at its
// end: those received and not read yet, and those written and not acknowledged.
func QueuedBytes(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local := fmt.Sprintf(":%04X", number)
	total := 0
	for line := range strings.Lines(string(table)) {
		// The second field is the local address, the fifth has both queues.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) {
			continue
		}
		var unacknowledged, unread int
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &unacknowledged, &unread); err != nil {
			return 0, errors.Wrapf(err, "queues %q", fields[4])
		}
		total += unacknowledged + unread
	}
	return total, nil
}
