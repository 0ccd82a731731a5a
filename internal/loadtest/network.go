package loadtest

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/link"
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// One-way latencies between two data centres of a region, between regions, and between a client and an instance.
	dataCentreLatency = 500 * time.Microsecond
	regionLatency     = 20 * time.Millisecond
	clientLatency     = 3 * time.Millisecond
	// firstInstanceHost is the last byte of the address of a data centre's first instance. The stand-ins of a data
	// centre all use last byte 1.
	firstInstanceHost = 10
	callerPort        = 18080
	peerPort          = 18081
	adminPort         = 18082
)

// Network assigns the loopback addresses 127.0.n.x to the n-th data centre, counted from 1, and emulates the network
// paths between them. Connections between daemons are not emulated, since both ends are in other processes.
type Network struct {
	EmulatedLinks *link.Network

	dataCentres []config.DataCentre
	pipes       map[[2]string]*link.Pipe
}

// NewNetwork returns a network of the data centres, with one pipe for each ordered pair of regions.
func NewNetwork(dataCentres []config.DataCentre, regionLinkBitsPerSecond int64) *Network {
	n := &Network{dataCentres: dataCentres, pipes: make(map[[2]string]*link.Pipe)}
	for _, a := range dataCentres {
		for _, b := range dataCentres {
			if a.Region != b.Region {
				n.pipes[[2]string{a.Region, b.Region}] = link.NewPipe(regionLinkBitsPerSecond)
			}
		}
	}
	n.EmulatedLinks = link.NewNetwork(n.path, n.dataCentreOf)
	return n
}

// path returns the network path between two data centres. An empty name stands for a client.
func (n *Network) path(from, to string) link.Path {
	if from == "" || to == "" {
		return link.Path{Latency: clientLatency}
	}
	a, b := n.region(from), n.region(to)
	switch {
	case from == to:
		return link.Path{}
	case a == b:
		return link.Path{Latency: dataCentreLatency}
	}
	return link.Path{Latency: regionLatency, Pipe: n.pipes[[2]string{a, b}]}
}

func (n *Network) region(dataCentre string) string {
	for _, d := range n.dataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// dataCentreOf returns the name of an address's data centre, or an empty string for a client's address.
func (n *Network) dataCentreOf(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	index := int(tcp.IP.To4()[2]) - 1
	if index < 0 || index >= len(n.dataCentres) {
		return ""
	}
	return n.dataCentres[index].Name
}

func (n *Network) index(dataCentre string) int {
	for i, d := range n.dataCentres {
		if d.Name == dataCentre {
			return i
		}
	}
	return 0
}

// Listen opens a listener for a stand-in of the data centre. The store has no data centre and listens in the first one.
func (n *Network) Listen(dataCentre string) (net.Listener, error) {
	index := n.index(dataCentre)
	inner, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:0", index+1))
	if err != nil {
		return nil, err
	}
	return n.EmulatedLinks.Listen(inner, n.dataCentres[index].Name), nil
}

// InstanceIP returns the IP address of the instance with the given number, counted from 0 within the data centre.
func (n *Network) InstanceIP(dataCentre string, number int) string {
	return fmt.Sprintf("127.0.%d.%d", n.index(dataCentre)+1, firstInstanceHost+number)
}

// Dial opens an emulated connection from a client to an instance.
func (n *Network) Dial(address string) (net.Conn, error) {
	inner, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return n.EmulatedLinks.Wrap(inner, n.dataCentreOf(inner.RemoteAddr())), nil
}

// RegionLinkBytes returns the total number of bytes sent between regions.
func (n *Network) RegionLinkBytes() int64 {
	total := int64(0)
	for _, p := range n.pipes {
		total += p.Bytes()
	}
	return total
}

// SetRegionsCut starts or ends a network partition between all regions.
func (n *Network) SetRegionsCut(cut bool) {
	for _, a := range n.dataCentres {
		for _, b := range n.dataCentres {
			if a.Region < b.Region {
				n.EmulatedLinks.SetPartition(a.Name, b.Name, cut)
			}
		}
	}
}

func hostPort(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
