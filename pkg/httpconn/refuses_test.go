package httpconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against taking a broken connection for the end of its endpoint while the endpoint still listens.
func TestRefusesOnlyAfterTheEndpointHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := NewPool(Options{})
	defer pool.Close()
	baseURL := "http://" + listener.Addr().String()
	if pool.Refuses(context.Background(), baseURL, time.Second) {
		t.Fatal("an endpoint that listens counts as ended")
	}
	_ = listener.Close()
	if !pool.Refuses(context.Background(), baseURL, time.Second) {
		t.Fatal("an endpoint that does not listen counts as running")
	}
}
