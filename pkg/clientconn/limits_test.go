package clientconn

import "testing"

// Guards against a bound on connections that leaves no descriptors for endpoints or files, or no memory for requests, and
// against one that no connection fits into.
func TestConnectionLimitFollowsDescriptorsAndMemory(t *testing.T) {
	for _, test := range []struct{ fds, memoryMB, want int }{
		{3075, 144, 1268}, {10250, 536, 4497}, {10250, 144, 1536}, {4100, 0, 1729}, {600, 96, 154}, {100, 144, 16}, {0, 1, 16},
	} {
		if got := ConnectionLimit(test.fds, test.memoryMB, ConnectionBytes); got != test.want {
			t.Errorf("%d descriptors, %d MB: %d connections, want %d", test.fds, test.memoryMB, got, test.want)
		}
		if fds := 2*ConnectionLimit(test.fds, test.memoryMB, ConnectionBytes) + IdleConnectionLimit(test.fds); test.fds > 600 && fds > test.fds-200 {
			t.Errorf("%d descriptors: %d in use", test.fds, fds)
		}
	}
}
