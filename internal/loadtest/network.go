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
	betweenDataCentres = 500 * time.Microsecond
	betweenRegions     = 20 * time.Millisecond
	toClients          = 3 * time.Millisecond
	// firstInstance is the last byte of the first instance's address; the stand-ins of a data centre share byte 1.
	firstInstance = 10
	callerPort    = 18080
	peerPort      = 18081
	adminPort     = 18082
)

// Network gives each data centre loopback addresses 127.0.<n>.x and emulates the paths between them. Connections between
// daemons are not emulated: both ends are other processes.
type Network struct {
	Emulated *link.Network

	dataCentres []config.DataCentre
	pipes       map[[2]string]*link.Pipe
}

// NewNetwork returns the network of the data centres, with one pipe from each region to each other.
func NewNetwork(dataCentres []config.DataCentre, regionLinkBitsPerSecond int64) *Network {
	n := &Network{dataCentres: dataCentres, pipes: make(map[[2]string]*link.Pipe)}
	for _, a := range dataCentres {
		for _, b := range dataCentres {
			if a.Region != b.Region {
				n.pipes[[2]string{a.Region, b.Region}] = link.NewPipe(regionLinkBitsPerSecond)
			}
		}
	}
	n.Emulated = link.NewNetwork(n.path, n.dataCentreOf)
	return n
}

// path returns the path between two data centres; an empty name is a client.
func (n *Network) path(from, to string) link.Path {
	if from == "" || to == "" {
		return link.Path{Latency: toClients}
	}
	a, b := n.region(from), n.region(to)
	switch {
	case from == to:
		return link.Path{}
	case a == b:
		return link.Path{Latency: betweenDataCentres}
	}
	return link.Path{Latency: betweenRegions, Pipe: n.pipes[[2]string{a, b}]}
}

func (n *Network) region(dataCentre string) string {
	for _, d := range n.dataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// dataCentreOf returns the data centre of an address, empty for a client.
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

// Listen opens the listener of a stand-in; the store, which has no data centre of its own, is in the first one.
func (n *Network) Listen(dataCentre string) (net.Listener, error) {
	index := n.index(dataCentre)
	inner, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:0", index+1))
	if err != nil {
		return nil, err
	}
	return n.Emulated.Listen(inner, n.dataCentres[index].Name), nil
}

// InstanceIP is the address of the instance with the number within its data centre.
func (n *Network) InstanceIP(dataCentre string, number int) string {
	return fmt.Sprintf("127.0.%d.%d", n.index(dataCentre)+1, firstInstance+number)
}

// Dial connects a client to an instance.
func (n *Network) Dial(address string) (net.Conn, error) {
	inner, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return n.Emulated.Wrap(inner, n.dataCentreOf(inner.RemoteAddr())), nil
}

// RegionBytes returns the bytes sent between regions so far.
func (n *Network) RegionBytes() int64 {
	total := int64(0)
	for _, p := range n.pipes {
		total += p.Bytes()
	}
	return total
}

// CutRegions starts or ends the partition of all regions from each other.
func (n *Network) CutRegions(cut bool) {
	for _, a := range n.dataCentres {
		for _, b := range n.dataCentres {
			if a.Region < b.Region {
				n.Emulated.SetCut(a.Name, b.Name, cut)
			}
		}
	}
}

func hostPort(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
