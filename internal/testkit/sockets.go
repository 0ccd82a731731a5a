package testkit

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// The fields of a line of /proc/net/tcp.
const (
	localField  = 1
	remoteField = 2
	queuesField = 4
)

// QueuedBytes returns the bytes that the kernel holds for all connections to an IPv4 address that a process listens on, at its
// end: those received and not read yet, and those written and not acknowledged.
func QueuedBytes(address string) (int, error) {
	return queuedBytes(localField, address)
}

// QueuedBytesTowards returns what the kernel holds for these connections at the end that has opened them.
func QueuedBytesTowards(address string) (int, error) {
	return queuedBytes(remoteField, address)
}

func queuedBytes(addressField int, address string) (int, error) {
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
	suffix := fmt.Sprintf(":%04X", number)
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesField || !strings.HasSuffix(fields[addressField], suffix) {
			continue
		}
		var unacknowledged, unread int
		if _, err := fmt.Sscanf(fields[queuesField], "%x:%x", &unacknowledged, &unread); err != nil {
			return 0, errors.Wrapf(err, "queues %q", fields[queuesField])
		}
		total += unacknowledged + unread
	}
	return total, nil
}

// FreeAddresses returns addresses on loopback that nothing listens on. They differ from each other: all are in use until the
// last one is chosen.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "choose a free address")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
