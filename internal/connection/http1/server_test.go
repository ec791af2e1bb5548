package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/version/config"
)

// taker answers with the size of a body, or with 503 without room for it; it holds those of /hold until release is closed.
type taker struct{ release, held chan struct{} }

func (tkr *taker) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	body, err := ReadBody(req, time.Minute)
	if err == nil {
		err = Take(req, int64(len(body)), time.Minute)
	}
	var room *NoRoomError
	if errors.As(err, &room) {
		Abandon(wrt)
		wrt.Header().Set("Retry-After", fmt.Sprint(int(room.RetryAfter().Seconds())))
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		Abandon(wrt)
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.URL.Path == "/hold" {
		tkr.held <- struct{}{}
		<-tkr.release
	}
	_, _ = fmt.Fprint(wrt, len(body)) // The test reads it.
}

// serve starts a server on loopback and returns it, its handler and its address. Its clock stands, as nothing watches it.
func serve(tb testing.TB, lim Limits) (*Server, *taker, string) {
	tb.Helper()
	chk := is.New(tb)
	tkr := &taker{release: make(chan struct{}), held: make(chan struct{}, 9)}
	srv := NewServer(Config{Handler: tkr, Limits: lim, Log: zerolog.Nop(), Name: "test"})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	chk.NoErr(err)
	chk.NoErr(LimitUnread(lis))
	var grp errgroup.Group
	grp.Go(func() error { return srv.Serve(lis) })
	tb.Cleanup(func() {
		chk.NoErr(srv.Close())
		chk.Equal(grp.Wait(), http.ErrServerClosed)
	})
	return srv, tkr, lis.Addr().String()
}

// dial opens a connection and writes to it.
func dial(tb testing.TB, address string, parts ...string) net.Conn {
	tb.Helper()
	chk := is.New(tb)
	con, err := net.Dial("tcp", address)
	chk.NoErr(err)
	tb.Cleanup(func() { _ = con.Close() }) // It may be closed already.
	for _, prt := range parts {
		_, _ = io.WriteString(con, prt) // The server may close it meanwhile.
	}
	return con
}

func head(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

// receive returns the status of an answer and its Retry-After, 0 if the connection ends without one.
func receive(con net.Conn) (status int, retryAfter string) {
	rep, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rep.Body.Close() }() // Only the status counts.
	return rep.StatusCode, rep.Header.Get("Retry-After")
}

// await waits until a condition holds; the test's time limit ends it if it never does.
func await(fnc func() bool) {
	for !fnc() {
		time.Sleep(time.Millisecond)
	}
}

var roomy = Limits{Connections: 20, Working: 10, Bytes: 4 << 20}

// Guards against bounds of the configuration that are not applied, or only to a process that starts.
func TestHeadsOverTheBound(t *testing.T) {
	chk := is.New(t)
	srv, _, adr := serve(t, roomy)
	long := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nX: " + strings.Repeat("a", 14_000) + "\r\n\r\n"
	status, _ := receive(dial(t, adr, long))
	chk.Equal(status, http.StatusOK)
	srv.SetBounds(config.Limits{HeaderBytes: 2000})
	receive(dial(t, adr, long)) // The refusal may be lost, as the rest of the head isn't read.
	await(func() bool { return srv.Closed(LargeHead) == 1 })
	srv.SetBounds(config.Limits{HeaderBytes: 32_000})
	status, _ = receive(dial(t, adr, strings.Replace(long, "X: ", "X: "+strings.Repeat("a", 16_000), 1)))
	chk.Equal(status, http.StatusOK)
}

// Guards against bodies that stop short and keep the memory from others.
func TestStoppedBodiesGiveWay(t *testing.T) {
	chk := is.New(t)
	srv, _, adr := serve(t, roomy)
	const size = 1 << 20
	for range 5 {
		dial(t, adr, head("/", size), strings.Repeat("a", size-1))
	}
	await(func() bool { // Until there is no room for another one.
		_, _, held := srv.Held()
		return held > 3*size
	})
	status, _ := receive(dial(t, adr, head("/", size), strings.Repeat("a", size)))
	chk.Equal(status, http.StatusOK)
	chk.True(srv.Closed(OutOfMemory) > 0)
	_, _, held := srv.Held()
	chk.True(held <= roomy.Bytes)
}

// Guards against requests that are given up for others once they were taken, and against refusals without a time to come back.
func TestTakenRequestsStay(t *testing.T) {
	chk := is.New(t)
	srv, tkr, adr := serve(t, Limits{Connections: 20, Working: 2, Bytes: 4 << 20})
	var open []net.Conn
	for range 2 {
		open = append(open, dial(t, adr, head("/hold", 1), "a"))
	}
	<-tkr.held
	<-tkr.held
	for _, body := range []string{"a", ""} { // A body that isn't there isn't waited for.
		status, retryAfter := receive(dial(t, adr, head("/", 1), body))
		chk.Equal(status, http.StatusServiceUnavailable)
		chk.Equal(retryAfter, "60")
	}
	for range 30 {
		dial(t, adr)
	}
	await(func() bool { return srv.Closed(Crowded) >= 10 })
	close(tkr.release)
	for _, con := range open {
		status, _ := receive(con)
		chk.Equal(status, http.StatusOK)
	}
}

// Guards against a connection that stays for good as the rest of an answered request never comes.
func TestRestOfARefusedBody(t *testing.T) {
	chk := is.New(t)
	srv, _, adr := serve(t, Limits{Connections: 20, Working: 2, Bytes: 200 << 10})
	con := dial(t, adr, head("/", 1<<20), strings.Repeat("a", 300<<10))
	status, retryAfter := receive(con)
	chk.Equal(status, http.StatusServiceUnavailable)
	chk.Equal(retryAfter, "1")
	await(func() bool {
		cons, _, held := srv.Held()
		return cons == 0 && held == 0
	})
}

// Guards against requests on one connection that are taken for one.
func TestRequestsAhead(t *testing.T) {
	chk := is.New(t)
	srv, _, adr := serve(t, roomy)
	const requests = 500
	con := dial(t, adr, strings.Repeat(head("/", 1)+"a", requests))
	rdr := bufio.NewReader(con)
	for range requests {
		rep, err := http.ReadResponse(rdr, nil)
		chk.NoErr(err)
		_, err = io.Copy(io.Discard, rep.Body)
		chk.NoErr(errors.Join(err, rep.Body.Close()))
		chk.Equal(rep.StatusCode, http.StatusOK)
	}
	await(func() bool {
		cons, wrk, held := srv.Held()
		return cons == 1 && wrk == 0 && held == 0
	})
}
