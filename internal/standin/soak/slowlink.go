package soak

import (
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// slowBytesPerSecond is the bandwidth of a slow link, 10 Mbit/s.
	slowBytesPerSecond = 1_250_000
	// slowSliceBytes is what a slow link carries at once.
	slowSliceBytes = 16 << 10
)

// slowLinks returns a handler whose answers reach every other host over a slow link.
func slowLinks(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isSlow(r.RemoteAddr) {
			w = &slowWriter{w}
		}
		h.ServeHTTP(w, r)
	})
}

// isSlow reports whether the host of an address has a slow link.
func isSlow(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.AsSlice()[len(ip.AsSlice())-1]%2 == 0
}

// slowWriter writes an answer at the rate of a slow link.
type slowWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		n := min(slowSliceBytes, len(data))
		time.Sleep(time.Duration(n) * time.Second / slowBytesPerSecond)
		m, err := w.ResponseWriter.Write(data[:n])
		written += m
		if err != nil {
			return written, err
		}
		data = data[n:]
	}
	return written, nil
}
