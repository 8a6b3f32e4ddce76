//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"foxtailwall/timekeeper"
)

// servePlain serves a plain service. It does not use net/http, which would close
// the connection of a request that is answered before its body was read.
func (r *replica) servePlain(log *runLog, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			br := bufio.NewReader(conn)
			for r.serveExchange(log, conn, br) {
			}
		}()
	}
}

// serveExchange serves one request and reports whether the connection stays open.
func (r *replica) serveExchange(log *runLog, conn net.Conn, br *bufio.Reader) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	defer req.Body.Close()
	id := req.Header.Get("Foxtailwall-Request-Id")
	if req.Header.Get("Foxtailwall-Expect-Replica") != r.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		_, err = io.Copy(io.Discard, req.Body)
		return err == nil
	}
	log.record("begins", id)
	// The work goes on although the connection may have ended.
	_ = timekeeper.Sleep(context.Background(), clock, r.Work)
	log.record("ends", id)
	body := "answer to " + id
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFoxtailwall-Request-Id: %s\r\nFoxtailwall-Replica-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.ID, id, len(body), body)
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}
