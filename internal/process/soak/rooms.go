package soak

import (
	"context"
	"time"
)

const (
	// formerRoomCounts is how long after a room has shrunk a start may still go by the former one: the platform's bound for contact and a heartbeat
	// of a server.
	formerRoomCounts = 3*time.Second + serverHeartbeat
	// serverHeartbeat is how often a backend server writes its record.
	serverHeartbeat = 1500 * time.Millisecond
)

// smallerRooms are the rooms that servers shrink to: half, less than one task, nothing, and the memory of one task.
var smallerRooms = []struct{ processor, memory int64 }{
	{serverProcessor / 2, serverMemory}, {taskProcessor - 1, serverMemory}, {0, 0}, {serverProcessor, taskMemory},
}

// shrinkRoom has the room of a backend server shrink for a while; its record follows with the next heartbeat.
func (ply *play) shrinkRoom(ctx context.Context, inj *injection) {
	inj.srv.changes.Lock()
	defer inj.srv.changes.Unlock()
	cut := func(lnk *link) bool {
		return lnk.to == storeName && ply.sys.domainOf(lnk.from) == inj.srv.domain
	}
	// The last failure domain keeps its way to the store: what no instance can read, none can know.
	if inj.kind == roomShrinksUnseen && inj.srv.domain != domainName(ply.shp.Domains-1) {
		ply.sys.each(cut, (*link).cutBoth)
		defer ply.sys.each(cut, (*link).heal)
	}
	rm := smallerRooms[inj.two/len(ply.sys.servers)%len(smallerRooms)]
	srv := inj.srv.now.Load()
	change := func(processor, memory int64, wait time.Duration) {
		srv.SetRoom(processor, memory, formerRoomCounts)
		sleep(ctx, wait)
		ply.sys.sto.List(srv, service, inj.srv.address, inj.srv.domain, false)
	}
	heartbeat := time.Duration(inj.two) * time.Millisecond % serverHeartbeat
	change(rm.processor, rm.memory, heartbeat)
	sleep(ctx, inj.lasts-heartbeat)
	change(serverProcessor, serverMemory, 0)
}
