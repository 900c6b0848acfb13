package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the hop-by-hop fields, the fields that the
// Connection field names, and the fields in drop.
func EndToEnd(h http.Header, drop ...string) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range drop {
		out.Del(name)
	}
	return out
}
