package daemon

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/shard"
	"chestnutstack/platform"
)

// oddText is a part of long texts in odd entries.
const oddText = "oddity"

// oddServer returns the ID of the server of a failure domain whose entry is odd; it answers.
func oddServer(dom int) string { return fmt.Sprintf("server-odd-%d", dom+1) }

// oddEntry is an odd entry of the list of servers: its key, if that is odd, and the fields that differ from a good one.
type oddEntry struct {
	key    string
	hasKey bool
	fields map[string]any
	// raw is the whole entry, if it is none of fields.
	raw string
	// readable is set if a server may have such an entry.
	readable bool
}

func oddEntries() map[string]oddEntry {
	long := func(length int) string { return strings.Repeat(oddText, length/len(oddText)) }
	labels := make([]string, 200)
	for num := range labels {
		labels[num] = fmt.Sprint(num, long(40))
	}
	room := func(processor, memory any) map[string]any {
		return map[string]any{"Capacity": map[string]any{"Cpu": processor, "MemMb": memory}}
	}
	return map[string]oddEntry{
		"largest processor":             {fields: room(math.MaxInt64, 1024)},
		"processor of 4e18":             {fields: room(int64(4e18), 1024)},
		"processor of 1e18":             {fields: room(int64(1e18), 1024)},
		"largest memory":                {fields: room(32000, math.MaxInt64)},
		"largest room":                  {fields: room(math.MaxInt64, math.MaxInt64)},
		"processor out of range":        {fields: room(json.Number("1e400"), 1024)},
		"latest incarnation":            {fields: map[string]any{"born": math.MaxInt64}},
		"port out of range":             {fields: map[string]any{"Address": "10.0.0.1:99999"}},
		"negative port":                 {fields: map[string]any{"Address": "10.0.0.1:-1"}},
		"port zero":                     {fields: map[string]any{"Address": "10.0.0.1:0"}},
		"port is a word":                {fields: map[string]any{"Address": "10.0.0.1:http"}},
		"long port":                     {fields: map[string]any{"Address": "10.0.0.1:" + strings.Repeat("1", 5000)}},
		"odd host":                      {fields: map[string]any{"Address": "no such host:80"}},
		"host is a name":                {fields: map[string]any{"Address": oddText + ".example:80"}},
		"empty key":                     {hasKey: true},
		"key with a line feed":          {hasKey: true, key: "server\r\nodd"},
		"key not UTF-8":                 {hasKey: true, key: "server-\xff"},
		"long failure domain":           {fields: map[string]any{"Zone": long(9000)}, readable: true},
		"long service":                  {fields: map[string]any{"Service": long(9000)}, readable: true},
		"long state":                    {fields: map[string]any{"State": long(9000)}},
		"many labels":                   {fields: map[string]any{"Labels": labels}, readable: true},
		"large entry":                   {fields: map[string]any{"Labels": []string{long(200_000)}}},
		"large entry of a known server": {hasKey: true, key: "server-2-2", fields: map[string]any{"born": int64(2e12), "Labels": []string{long(200_000)}}},
		"nested deeply":                 {raw: strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
		"empty value":                   {raw: `""`},
	}
}

// put writes the entry of a failure domain to the list.
func (odd *oddEntry) put(sys *system, dom int) {
	key := oddServer(dom)
	if odd.hasKey {
		key = odd.key
	}
	sys.sto.Put(string(platform.ServersTopic), key, json.RawMessage(odd.encode(sys, dom)))
}

// encode returns the entry of a failure domain as the store has it.
func (odd *oddEntry) encode(sys *system, dom int) []byte {
	if odd.raw != "" {
		return []byte(odd.raw)
	}
	ent := map[string]any{
		"Service": service, "Address": sys.addresses[oddServer(dom)], "Zone": domainName(dom), "State": "ready",
		"Capacity": map[string]any{"Cpu": 32000, "MemMb": 1024},
	}
	for fld, val := range odd.fields {
		ent[fld] = val
	}
	data, _ := json.Marshal(ent) // Each field encodes.
	return data
}

// TestOddEntries guards against an entry of the list of servers that costs more than itself: jobs that are refused though the other servers are
// free, lists, digests or pages that are refused with all that stands in them, calls and lines in the log for as long as it stands.
func TestOddEntries(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runTestSystemWith(t, &system{bound: 2 * time.Second}, 2, 2, 2, func(sys *system) { playOddEntry(t, sys, &odd) })
				time.Sleep(20 * time.Second) // The stand-ins' timers must have fired before the bubble ends.
			})
		})
	}
}

// Guards against the list of another instance that is refused, or taken in part, for an odd entry that stands first in it.
func TestListOfAnotherInstanceHasOddEntry(t *testing.T) {
	inTestSystem(t, 1, 1, 1, func(sys *system) {
		sys.serveUnlisted(oddServer(0))
		dmn := sys.instances["entry-1-1"].dmn
		good := []byte(`{"Service":"render","Address":"10.0.0.1:80","Zone":"domain-1","State":"ready","Capacity":{"Cpu":1000,"MemMb":64}}`)
		for name, odd := range oddEntries() {
			t.Run(name, func(t *testing.T) {
				chk := is.New(t)
				rec := platform.Record{Key: oddServer(0), Value: odd.encode(sys, 0)}
				if odd.hasKey {
					rec.Key = odd.key
				}
				data, err := platform.EncodeList(&platform.WholeList{By: "other", To: 1 << 30, Records: []platform.Record{rec, {Key: "server-good", Value: good}}})
				chk.NoErr(err)
				dmn.mu.Lock()
				dmn.follower.Forget(dmn.now())
				delete(dmn.entries, "server-good")
				dmn.mu.Unlock()
				dmn.handleServerList("other/1", data)
				dmn.mu.Lock()
				defer dmn.mu.Unlock()
				chk.True(dmn.entries["server-good"].Address != "")
				chk.Equal(dmn.entries[shard.ServerID(rec.Key)].Address != "", odd.readable)
			})
		}
	})
}

// playOddEntry has an odd entry stand in the list of a system while it serves, learns of a further server, and starts again.
func playOddEntry(t *testing.T, sys *system, odd *oddEntry) {
	t.Helper()
	chk := is.NewRelaxed(t)
	number := 0
	served := func() {
		for _, prc := range sys.runningProcesses() {
			number++
			chk.Equal(sys.send(sys.ctx, prc.name, jobSpec{id: jobID(number), tasks: 2, payload: payload{Millis: 50}}), http.StatusOK)
		}
	}
	for dom := range 2 {
		sys.serveUnlisted(oddServer(dom))
		odd.put(sys, dom)
	}
	time.Sleep(2 * time.Second)
	served()
	// The list goes on behind the entry.
	sys.startServer("server-1-9", domainName(0))
	time.Sleep(2 * time.Second)
	chk.Equal(sys.count(func(prc *process) bool { return prc.dmn.entries["server-1-9"].Address != "" }), 4)
	served()
	// An instance that starts reads the whole list, and then all do.
	sys.sto.CompactServers()
	sys.kill("entry-1-1")
	sys.startInstance("entry-1-1", domainName(0))
	time.Sleep(2 * time.Second)
	served()
	sys.restartAll()
	time.Sleep(2 * time.Second)
	chk.Equal(sys.count(func(prc *process) bool { return prc.dmn.entries["server-1-9"].Address != "" }), 4)
	served()
	for _, msg := range []string{"digest of the list of servers is refused", "changes of the list of servers are refused", "list of servers is refused", "is not written"} {
		chk.True(!strings.Contains(sys.logText(), msg))
	}
	chk.True(len(sys.logText()) < 4<<20)
	for _, lin := range strings.Split(sys.logText(), "\n") {
		chk.True(strings.Count(lin, oddText) < 200)
		called := strings.Contains(lin, "look failed") && !strings.Contains(lin, `"server":"server-1-`) && !strings.Contains(lin, `"server":"server-2-`)
		chk.True(odd.readable || !called)
	}
}
