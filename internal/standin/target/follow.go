package target

import (
	"net/http"
)

// limit is the byte of a stream where a connection stops being useful.
type limit struct {
	// bytes is the offset, or below 0 for none.
	bytes int
	// abort closes the connection there; otherwise it falls silent.
	abort bool
}

// noLimit is the limit of a sound connection.
var noLimit = limit{bytes: -1}

// follow sends a stream from an offset to its end as it grows.
func follow(w http.ResponseWriter, r *http.Request, st *stream, offset int, stop limit) {
	st.attach()
	defer st.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	control := http.NewResponseController(w)
	for {
		p := st.from(offset)
		data := p.data
		cut := stop.bytes >= 0 && offset+len(data) >= stop.bytes
		if cut {
			data = data[:max(stop.bytes-offset, 0)]
		}
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				return
			}
			offset += len(data)
			// A caller that has gone shows at the next write.
			_ = control.Flush()
		}
		switch {
		case cut && !stop.abort:
			<-r.Context().Done()
			return
		case cut, p.ended && p.broken:
			panic(http.ErrAbortHandler)
		case p.ended:
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}
