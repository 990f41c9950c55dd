package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/eventstream"
)

func TestNext(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	tests := []struct {
		name string
		in   string
		ids  []string
		raw  []string
		end  error
	}{
		{"empty", "", nil, nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		{"no space", "id:7\n\n", []string{"7"}, []string{"id:7\n\n"}, io.EOF},
		{"another first line", "weights: 3\nid: 7\n\n", []string{"7"}, []string{"weights: 3\nid: 7\n\n"}, io.EOF},
		{"longer than the buffer", long, []string{"1"}, []string{long}, io.EOF},
		{"cut in a line", "id: 1\n\nid: 2\nda", []string{"1"}, []string{"id: 1\n\n"}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := eventstream.NewReader(iotest.OneByteReader(strings.NewReader(tt.in)))
			var ids, raw []string
			var err error
			for {
				var e eventstream.Event
				if e, err = r.Next(); err != nil {
					break
				}
				ids, raw = append(ids, e.ID), append(raw, string(e.Raw))
			}
			is.Equal(ids, tt.ids)
			is.Equal(raw, tt.raw)
			is.True(errors.Is(err, tt.end))
		})
	}
}

func TestNextTooLong(t *testing.T) {
	is := is.New(t)
	r := eventstream.NewReader(strings.NewReader(strings.Repeat("x", 2<<20)))
	_, err := r.Next()
	is.True(err != nil)
	is.True(!errors.Is(err, io.ErrUnexpectedEOF))
}
