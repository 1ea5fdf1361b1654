package router

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

func head(number uint64, status uint32) *zinniaquayv1.Chunk {
	return &zinniaquayv1.Chunk{Number: number, Part: &zinniaquayv1.Chunk_Head{Head: &zinniaquayv1.Head{
		Status: status, Headers: []*zinniaquayv1.Header{{Name: "Content-Length", Value: "4"}},
	}}}
}

func body(number uint64, merged uint32, text string) *zinniaquayv1.Chunk {
	return &zinniaquayv1.Chunk{Number: number, Merged: merged, Part: &zinniaquayv1.Chunk_Body{Body: []byte(text)}}
}

func TestSinkAcceptsChunksInOrderOnly(t *testing.T) {
	for name, c := range map[string]struct {
		chunks []*zinniaquayv1.Chunk
		err    error
		got    string
	}{
		"in order":           {[]*zinniaquayv1.Chunk{head(0, 200), body(1, 0, "ab"), body(2, 0, "cd")}, nil, "abcd"},
		"merged":             {[]*zinniaquayv1.Chunk{head(0, 200), body(1, 2, "abc"), body(4, 0, "d")}, nil, "abcd"},
		"duplicate chunk":    {[]*zinniaquayv1.Chunk{head(0, 200), body(1, 0, "ab"), body(1, 0, "ab"), body(2, 0, "cd")}, nil, "abcd"},
		"late duplicate":     {[]*zinniaquayv1.Chunk{head(0, 200), body(1, 0, "ab"), body(2, 0, "cd"), body(1, 0, "ab")}, nil, "abcd"},
		"missing chunk":      {[]*zinniaquayv1.Chunk{head(0, 200), body(1, 0, "ab"), body(3, 0, "cd")}, errOutOfOrder, "ab"},
		"body without head":  {[]*zinniaquayv1.Chunk{body(0, 0, "ab")}, errOutOfOrder, ""},
		"second head":        {[]*zinniaquayv1.Chunk{head(0, 200), head(1, 200)}, errOutOfOrder, ""},
		"informational head": {[]*zinniaquayv1.Chunk{head(0, 101)}, errOutOfOrder, ""},
		"invalid status":     {[]*zinniaquayv1.Chunk{head(0, 1000)}, errOutOfOrder, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			s := newSink(w)
			var err error
			for _, chunk := range c.chunks {
				if err = s.accept(chunk); err != nil {
					break
				}
			}
			is.True(errors.Is(err, c.err))
			is.Equal(w.Body.String(), c.got)
		})
	}
}

func TestNoContentResponseHasNoContentLength(t *testing.T) {
	is := is.New(t)
	for status, length := range map[uint32]string{200: "4", 204: "", 304: "4"} {
		w := httptest.NewRecorder()
		is.NoErr(newSink(w).accept(head(0, status)))
		is.Equal(w.Header().Get("Content-Length"), length)
	}
}

// brokenWriter is the response writer of a caller that has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestRecordedResponseIsCompleteAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	s := newSink(brokenWriter{httptest.NewRecorder()})
	s.recorder = &recorder{}
	for _, c := range []*zinniaquayv1.Chunk{head(0, 201), body(1, 0, "ab"), body(2, 0, "cd")} {
		is.NoErr(s.accept(c))
	}
	is.Equal(errkind.Of(s.finish()), errkind.Canceled)
	is.True(s.recorder.complete)
	is.Equal(string(s.recorder.answer().GetBody()), "abcd")
	is.Equal(s.recorder.answer().GetStatus(), uint32(201))
}

func TestLargeResponseBodyIsNotRecorded(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	r.add(body(1, 0, "first"))
	r.add(body(2, 0, string(make([]byte, maxRecordedBytes))))
	r.add(body(3, 0, "last"))
	is.True(r.answer().GetLeftOut())
	is.Equal(len(r.answer().GetBody()), 0)
}
