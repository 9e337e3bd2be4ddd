package http1

import (
	"strconv"
)

// hopByHop lists the fields that apply to a single connection, and those that the Append functions write themselves.
var hopByHop = []string{
	"connection", "content-length", "transfer-encoding", "keep-alive", "expect", "te", "trailer", "upgrade",
	"proxy-connection", "proxy-authenticate", "proxy-authorization",
}

// containsName reports whether a list contains a field name, ignoring case.
func containsName(name string, list []string) bool {
	for _, other := range list {
		if SameName(other, name) {
			return true
		}
	}
	return false
}

// AppendEndToEnd appends the fields that are forwarded to the next hop, as lines of a head. It omits hop-by-hop fields and
// the excluded ones.
func AppendEndToEnd(dst []byte, h Headers, excluded ...string) []byte {
	hasConnection := h.Count("Connection") > 0
	for i := range h {
		if name := h[i].Name; containsName(name, hopByHop) || containsName(name, excluded) || hasConnection && hasToken(h, "Connection", name) {
			continue
		}
		dst = AppendField(dst, h[i].Name, h[i].Value)
	}
	return dst
}

// AppendField appends one line of a head.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendRequestLine appends the request line. It does not validate method and target.
func AppendRequestLine(dst []byte, method, target string) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	return append(dst, " HTTP/1.1\r\n"...)
}

// AppendRequestBody appends the Content-Length, the end of the head and the body of a request.
func AppendRequestBody(dst []byte, method string, body []byte) []byte {
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		dst = appendLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// AppendResponse appends a whole response. fields holds lines of its head. If bodyless is set, it omits the Content-Length
// and the body, as the responses to HEAD and with status 204 or 304 require.
func AppendResponse(dst []byte, status int, fields, body []byte, bodyless, closeConn bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(status)...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, fields...)
	if closeConn {
		dst = append(dst, "Connection: close\r\n"...)
	}
	if !bodyless {
		dst = appendLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	if bodyless {
		return dst
	}
	return append(dst, body...)
}

var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 204: "No Content", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

func reasonPhrase(status int) string {
	if text, ok := reasonPhrases[status]; ok {
		return text
	}
	return "Status"
}
