package http1

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutstack/internal/version/config"
)

// take leads a connection through a whole request that holds so many bytes.
func take(tab *Table[int], id int, bytes int64) bool {
	tab.BeginBody(id, 0)
	tab.Decode(id)
	_, fits := tab.Take(id, bytes, 5*time.Second)
	return fits
}

// answer ends the request on a connection.
func answer(tab *Table[int], id int) {
	tab.End(id)
	tab.Await(id)
}

// Guards against crowds that keep others out by the connections that they hold, and against newcomers that push out those who are served.
func TestPlaceForANewConnection(t *testing.T) {
	cases := map[string]struct {
		before func(tab *Table[int])
		closed []Closing[int]
	}{
		"there is one": {before: func(tab *Table[int]) { tab.Open(1); tab.Open(2) }},
		"the oldest silent one goes": {
			before: func(tab *Table[int]) { tab.Open(1); tab.Open(2); tab.Open(3); tab.Receive(1, 10) },
			closed: []Closing[int]{{Conn: 2, Reason: Crowded}},
		},
		"a slow body goes before a newer silent one": {
			before: func(tab *Table[int]) {
				tab.Open(1)
				tab.Receive(1, 10)
				tab.BeginBody(1, time.Minute)
				tab.Open(2)
				tab.Open(3)
			},
			closed: []Closing[int]{{Conn: 1, Reason: Crowded}},
		},
		"an idle one goes before a new one": {
			before: func(tab *Table[int]) { tab.Open(1); answer(tab, 1); tab.Open(2); answer(tab, 2); tab.Open(3) },
			closed: []Closing[int]{{Conn: 1, Reason: Crowded}},
		},
		"an idle one stays for one that is silent for long": {
			before: func(tab *Table[int]) { tab.Open(1); answer(tab, 1); tab.Open(2); tab.Open(3); tab.Sweep(graceTime) },
			closed: []Closing[int]{{Conn: 2, Reason: Crowded}},
		},
		"a request that is worked on stays": {
			before: func(tab *Table[int]) { tab.Open(1); take(tab, 1, 10); tab.Open(2); take(tab, 2, 10); tab.Open(3) },
			closed: []Closing[int]{{Conn: 3, Reason: Crowded}},
		},
		"a request that is read whole stays": {
			before: func(tab *Table[int]) { tab.Open(1); tab.BeginBody(1, 0); tab.Decode(1); tab.Open(2); tab.Open(3) },
			closed: []Closing[int]{{Conn: 2, Reason: Crowded}},
		},
		"an answer that nobody takes goes": {
			before: func(tab *Table[int]) {
				tab.Open(1)
				take(tab, 1, 10)
				tab.Open(2)
				tab.Open(3)
				take(tab, 3, 10)
				tab.End(3)
				tab.Close(2)
				tab.Open(2)
				take(tab, 2, 10)
			},
			closed: []Closing[int]{{Conn: 3, Reason: Crowded}},
		},
		"the next request of one that was answered goes last": {
			before: func(tab *Table[int]) {
				tab.Open(1)
				answer(tab, 1)
				tab.Receive(1, 10)
				tab.Open(2)
				tab.Open(3)
				tab.Receive(3, 10)
			},
			closed: []Closing[int]{{Conn: 2, Reason: Crowded}},
		},
		"all are read whole": {
			before: func(tab *Table[int]) {
				for id := range int(3) {
					tab.Open(id)
					tab.BeginBody(id, 0)
					tab.Decode(id)
				}
			},
			closed: []Closing[int]{{Conn: 9, Reason: Crowded}},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			tab := NewTable[int](Limits{Connections: 3, Working: 2, Bytes: 1 << 20}, config.Limits{})
			cse.before(tab)
			chk.Equal(tab.Open(9), cse.closed)
		})
	}
}

// Guards against memory that is held by requests which don't come to their end.
func TestRoomForARequest(t *testing.T) {
	cases := map[string]struct {
		before func(tab *Table[int])
		room   int64
		closed []Closing[int]
		fits   bool
	}{
		"there is room": {room: 1000, fits: true},
		"a body that stopped goes": {
			before: func(tab *Table[int]) { tab.Open(1); tab.BeginBody(1, time.Minute); tab.Charge(1, 600) },
			room:   500, closed: []Closing[int]{{Conn: 1, Reason: OutOfMemory}}, fits: true,
		},
		"several go, the oldest first": {
			before: func(tab *Table[int]) {
				for id := range int(3) {
					tab.Open(id)
					tab.BeginBody(id, time.Minute)
					tab.Charge(id, 300)
				}
			},
			room: 600, closed: []Closing[int]{{Conn: 0, Reason: OutOfMemory}, {Conn: 1, Reason: OutOfMemory}}, fits: true,
		},
		"an older client's body goes last": {
			before: func(tab *Table[int]) {
				tab.Open(1)
				answer(tab, 1)
				tab.BeginBody(1, time.Minute)
				tab.Charge(1, 400)
				tab.Open(2)
				tab.BeginBody(2, time.Minute)
				tab.Charge(2, 400)
			},
			room: 500, closed: []Closing[int]{{Conn: 2, Reason: OutOfMemory}}, fits: true,
		},
		"requests that are worked on stay": {
			before: func(tab *Table[int]) { tab.Open(1); take(tab, 1, 600) },
			room:   500,
		},
		"what was read whole stays": {
			before: func(tab *Table[int]) { tab.Open(1); tab.BeginBody(1, 0); tab.Charge(1, 600); tab.Decode(1) },
			room:   500,
		},
		"what was answered is free": {
			before: func(tab *Table[int]) { tab.Open(1); take(tab, 1, 600); tab.End(1) },
			room:   1000, fits: true,
		},
		"what was closed is free": {
			before: func(tab *Table[int]) { tab.Open(1); take(tab, 1, 600); tab.Close(1) },
			room:   1000, fits: true,
		},
		"more than there is": {room: 1001},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			tab := NewTable[int](Limits{Connections: 9, Working: 8, Bytes: 1000}, config.Limits{})
			if cse.before != nil {
				cse.before(tab)
			}
			tab.Open(9)
			tab.BeginBody(9, time.Minute)
			cls, fits := tab.Charge(9, cse.room)
			chk.Equal(cls, cse.closed)
			chk.Equal(fits, cse.fits)
		})
	}
}

// Guards against the oldest of several slow bodies that has a younger one closed for itself.
func TestSlowestBodyIsRefused(t *testing.T) {
	chk := is.New(t)
	tab := NewTable[int](Limits{Connections: 9, Working: 8, Bytes: 1000}, config.Limits{})
	for id := range int(2) {
		tab.Open(id)
		tab.BeginBody(id, time.Minute)
		tab.Charge(id, 500)
	}
	cls, fits := tab.Charge(0, 100)
	chk.Equal(cls, []Closing[int](nil))
	chk.True(!fits)
	chk.Equal(tab.Wait(100), minWait) // Both give way to a request that comes anew.
}

// Guards against heads without end, and against many of them at once.
func TestHeads(t *testing.T) {
	chk := is.New(t)
	tab := NewTable[int](Limits{Connections: 9, Working: 8, Bytes: 16 << 20}, config.Limits{HeaderBytes: 8000})
	tab.Open(1)
	chk.Equal(tab.Receive(1, 8000), []Closing[int](nil))
	chk.Equal(tab.Receive(1, readAhead), []Closing[int](nil))
	tab.Open(2)
	chk.Equal(tab.Receive(2, 8000+readAhead), []Closing[int](nil))
	tab.Open(3)
	chk.Equal(tab.Receive(3, 8000+readAhead+1), []Closing[int]{{Conn: 3, Reason: LargeHead}})
	for id := 4; id < 8; id++ {
		tab.Open(id)
		tab.Receive(id, 8000+readAhead)
	}
	_, _, held := tab.Held()
	chk.True(held <= 16<<20/headShare)
	// The bytes of a body, and those that are read ahead of the answer, are no head.
	tab = NewTable[int](Limits{Connections: 9, Working: 8, Bytes: 2 << 20}, config.Limits{HeaderBytes: 8000})
	tab.Open(1)
	chk.True(take(tab, 1, 10))
	chk.Equal(tab.Receive(1, 100_000), []Closing[int](nil))
	answer(tab, 1)
	chk.Equal(tab.Receive(1, 8000), []Closing[int](nil))
	answer(tab, 1)
	chk.Equal(tab.Receive(1, 8000), []Closing[int](nil)) // The head of another request.
}

// Guards against clients that take their time, and against those that are closed too early.
func TestSweep(t *testing.T) {
	bnd := config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	cases := map[string]struct {
		before func(tab *Table[int])
		// until is when the connection is closed, 0 for never.
		until  time.Duration
		reason Reason
	}{
		"silent":               {before: func(*Table[int]) {}, until: 6 * time.Second, reason: SlowHead},
		"part of a head":       {before: func(tab *Table[int]) { tab.Receive(1, 10) }, until: 6 * time.Second, reason: SlowHead},
		"part of a body":       {before: func(tab *Table[int]) { tab.BeginBody(1, 9*time.Second) }, until: 9 * time.Second, reason: SlowBody},
		"no body":              {before: func(tab *Table[int]) { tab.BeginBody(1, 0) }, until: 6 * time.Second, reason: SlowBody},
		"read whole":           {before: func(tab *Table[int]) { tab.BeginBody(1, 0); tab.Decode(1) }},
		"worked on":            {before: func(tab *Table[int]) { take(tab, 1, 10) }},
		"answer isn't taken":   {before: func(tab *Table[int]) { take(tab, 1, 10); tab.End(1) }, until: 30 * time.Second, reason: Deaf},
		"idle":                 {before: func(tab *Table[int]) { answer(tab, 1) }, until: 30 * time.Second, reason: Idle},
		"part of another head": {before: func(tab *Table[int]) { answer(tab, 1); tab.Receive(1, 10) }, until: 6 * time.Second, reason: SlowHead},
		"closed":               {before: func(tab *Table[int]) { tab.Close(1) }},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			tab := NewTable[int](Limits{Connections: 9, Working: 8, Bytes: 1 << 20}, bnd)
			tab.Open(1)
			cse.before(tab)
			closed := time.Duration(0)
			for at := time.Second; at < time.Minute; at += time.Second {
				for _, one := range tab.Sweep(time.Second) {
					chk.Equal(one, Closing[int]{Conn: 1, Reason: cse.reason})
					closed = at
				}
			}
			chk.Equal(closed, cse.until)
		})
	}
}

// Guards against refusals whose clients come back in vain, or too late.
func TestWait(t *testing.T) {
	chk := is.New(t)
	tab := NewTable[int](Limits{Connections: 9, Working: 3, Bytes: 1000}, config.Limits{})
	for id, timeout := range []time.Duration{9 * time.Second, 4 * time.Second, 6 * time.Second} {
		tab.Open(id)
		tab.BeginBody(id, 0)
		tab.Decode(id)
		_, fits := tab.Take(id, 300, timeout)
		chk.True(fits)
	}
	tab.Sweep(time.Second)
	chk.Equal(tab.Wait(100), 3*time.Second) // For one of three places.
	chk.Equal(tab.Wait(500), 5*time.Second) // For the bytes of two requests.
	chk.Equal(tab.Wait(1000), 8*time.Second)
	answer(tab, 0)
	chk.Equal(tab.Wait(100), minWait)
}

// Guards against sums that drift: what is held is what the open connections hold, within the limits, whatever comes in which order.
func TestTableKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Working: rapid.IntRange(1, 5).Draw(t, "working"), Bytes: 1 << 20}
		tab := NewTable[int](lim, config.Limits{})
		open := map[int]bool{}
		forget := func(cls []Closing[int]) {
			for _, one := range cls {
				if !open[one.Conn] {
					t.Fatalf("%d was closed twice", one.Conn)
				}
				delete(open, one.Conn)
			}
		}
		for next := range rapid.IntRange(1, 200).Draw(t, "events") {
			id := rapid.IntRange(0, next).Draw(t, "id")
			num := rapid.Int64Range(1, 600_000).Draw(t, "bytes")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				open[next] = true
				forget(tab.Open(next))
			case 2:
				forget(tab.Receive(id, int(num/30)))
			case 3:
				tab.BeginBody(id, time.Minute)
			case 4:
				cls, _ := tab.Charge(id, num)
				forget(cls)
			case 5:
				tab.Decode(id)
			case 6:
				cls, _ := tab.Take(id, num, time.Second)
				forget(cls)
			case 7:
				tab.End(id)
			case 8:
				tab.Await(id)
			case 9:
				tab.Close(id)
				delete(open, id)
			}
			if rapid.IntRange(0, 20).Draw(t, "sweep") == 0 {
				forget(tab.Sweep(time.Second))
			}
			checkTable(t, tab, lim, len(open))
		}
	})
}

func checkTable(t *rapid.T, tab *Table[int], lim Limits, open int) {
	cons, wrk, held := tab.Held()
	if cons != open || cons > lim.Connections || wrk > lim.Working || held > lim.Bytes || held < 0 {
		t.Fatalf("%d connections of %d, %d worked on, %d bytes", cons, open, wrk, held)
	}
	listed, sum, taken := 0, int64(0), 0
	for _, lst := range tab.lists() {
		listed += lst.Len()
	}
	phases := []phase{}
	for _, rec := range tab.records {
		sum += rec.charged
		phases = append(phases, rec.phase)
		if rec.phase == decoding || rec.phase == working {
			listed++
		}
		if rec.phase == working {
			taken++
		}
	}
	slices.Sort(phases)
	if listed != cons || sum != held || taken != wrk {
		t.Fatalf("%d of %d connections have their place, %d of %d bytes, phases %v", listed, cons, sum, held, phases)
	}
}

// Guards against limits that a client inside the platform's limits meets, or that the machine doesn't have.
func TestNewLimits(t *testing.T) {
	cases := map[string]struct {
		memory      int64
		sockets     int
		connections int
	}{
		"smallest machine":     {memory: 144 << 20, sockets: 2875, connections: 768},
		"ordinary machine":     {memory: 284 << 20, sockets: 3900, connections: 1514},
		"few sockets":          {memory: 284 << 20, sockets: 100, connections: 50},
		"sockets aren't known": {memory: 284 << 20, connections: 1514},
		"next to nothing":      {memory: 1 << 20, sockets: 1, connections: minConnections},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			lim := NewLimits(cse.memory, cse.sockets)
			chk.Equal(lim.Connections, cse.connections)
			chk.True(lim.Working < lim.Connections)
			chk.Equal(lim.Bytes, cse.memory/4)
		})
	}
}
