package network_test

import (
	"errors"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/network"
)

// slow is a link of 10 Mbit/s.
var slow = network.Link{BytesPerSecond: 1_250_000, Latency: time.Millisecond}

// transfer sends bytes over a connection and returns how long that took.
func transfer(t *testing.T, from, to *network.Host, address string, bytes int) time.Duration {
	is := is.New(t)
	l, err := to.Listen(address)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	start := time.Now()
	go func() {
		c, err := from.Dial(t.Context(), address)
		if err != nil {
			return
		}
		_, _ = c.Write(make([]byte, bytes))
		_ = c.Close()
	}()
	c, err := l.Accept()
	is.NoErr(err)
	got, err := io.Copy(io.Discard, c)
	is.NoErr(err)
	is.Equal(int(got), bytes)
	return time.Since(start)
}

func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		server := n.AddHost("10.0.0.1", network.Link{BytesPerSecond: 125_000_000, Latency: time.Millisecond})
		client := n.AddHost("10.0.0.2", slow)
		took := transfer(t, server, client, "10.0.0.2:80", 1_250_000)
		is.True(took >= time.Second)
		is.True(took < 1100*time.Millisecond) // the slower of the two links decides
		is.Equal(client.Traffic().Received, int64(1_250_000))
		is.Equal(server.Traffic().Sent, int64(1_250_000))
	})
}

func TestOccupy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		server, client := n.AddHost("10.0.0.1", slow), n.AddHost("10.0.0.2", slow)
		client.Occupy(625_000)
		took := transfer(t, server, client, "10.0.0.2:80", 1_250_000)
		is.True(took >= 1400*time.Millisecond) // the link was full for half a second
	})
}

func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		server, client := n.AddHost("10.0.0.1", slow), n.AddHost("10.0.0.2", slow)
		l, err := server.Listen("10.0.0.1:80")
		is.NoErr(err)
		go func() { _, _ = l.Accept() }()
		c, err := client.Dial(t.Context(), "10.0.0.1:80")
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(make([]byte, 1))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = c.Write(make([]byte, 1<<20)) // nobody reads
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

func TestDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New()
		a, err := n.AddHost("10.0.0.1", slow).ListenPacket("10.0.0.1:7200")
		is.NoErr(err)
		b, err := n.AddHost("10.0.0.2", slow).ListenPacket("10.0.0.2:7200")
		is.NoErr(err)
		_, err = a.WriteTo([]byte("x"), b.LocalAddr())
		is.NoErr(err)
		buffer := make([]byte, 10)
		got, from, err := b.ReadFrom(buffer)
		is.NoErr(err)
		is.Equal(got, 1)
		is.Equal(from.String(), a.LocalAddr().String())
		for range 1000 {
			_, _ = a.WriteTo(make([]byte, 1250), b.LocalAddr())
		}
		time.Sleep(2 * time.Second)
		lost := 0
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
		for range 1000 {
			if _, _, err := b.ReadFrom(buffer); err != nil {
				lost++
				break
			}
		}
		is.Equal(lost, 1) // the link carries a second of them at most
		is.NoErr(b.Close())
	})
}
