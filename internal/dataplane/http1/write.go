package http1

import (
	"strconv"
)

// hop lists the fields that concern one connection only, and those that a
// message of ours states itself.
var hop = []string{
	"connection", "content-length", "transfer-encoding", "keep-alive", "expect", "te", "trailer", "upgrade",
	"proxy-connection", "proxy-authenticate", "proxy-authorization",
}

// isOneOf reports whether a field's name is in a list.
func isOneOf(name string, list []string) bool {
	for _, l := range list {
		if SameName(l, name) {
			return true
		}
	}
	return false
}

// AppendEndToEnd writes the fields that go along with a message to the next hop,
// as lines of a head, without those whose names are given as well.
func AppendEndToEnd(dst []byte, h Headers, but ...string) []byte {
	options := h.Count("Connection") > 0
	for i := range h {
		if name := h[i].Name; isOneOf(name, hop) || isOneOf(name, but) || options && hasToken(h, "Connection", name) {
			continue
		}
		dst = AppendField(dst, h[i].Name, h[i].Value)
	}
	return dst
}

// AppendField writes one line of a head.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendRequestLine writes a request's first line.
func AppendRequestLine(dst []byte, method, target string) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	return append(dst, " HTTP/1.1\r\n"...)
}

// AppendRequestBody ends a request's head, behind its fields, and writes its body.
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

// AppendResponse writes an answer with a body of known length. fields are lines of
// its head; bodyless is an answer that may not have a body.
func AppendResponse(dst []byte, status int, fields, body []byte, bodyless, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(status)...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, fields...)
	if close {
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

var reasons = map[int]string{
	200: "OK", 201: "Created", 204: "No Content", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

func reason(status int) string {
	if text, ok := reasons[status]; ok {
		return text
	}
	return "Status"
}
