package shard

import (
	"math"
	"time"

	learn "chestnutstack/internal/request/speed"
)

// ServerSpeed is the lasting speed of an incarnation of a server.
type ServerSpeed struct {
	Server      ServerID
	Incarnation Incarnation
	// Factor is the lasting run time over that of an average server, in thousandths.
	Factor int64
}

// ToldSpeeds is what the leader of a shard tells instances that may lead the shard later.
type ToldSpeeds struct {
	Shard  Name
	Token  int64
	Speeds []ServerSpeed
}

// Speeds returns the known speeds of the shard's servers, at most maxToldSpeeds, and whether there are any to tell: there are none while speeds are not
// used.
func (ldr *Leader) Speeds() (ToldSpeeds, bool) {
	told := ToldSpeeds{Shard: ldr.name, Token: ldr.token}
	for _, srv := range ldr.serverList {
		if ldr.speeds.used && srv.spd.level.Known() && len(told.Speeds) < maxToldSpeeds {
			told.Speeds = append(told.Speeds, ServerSpeed{Server: srv.ent.ID, Incarnation: srv.incarnation, Factor: ldr.factorOnWire(srv)})
		}
	}
	return told, len(told.Speeds) > 0
}

const (
	// maxToldSpeeds bounds a message: a shard has some nine servers, and many more only in the first seconds of a deployment.
	maxToldSpeeds = 64
	// toldKept is how long told speeds are used: leaders tell them each two seconds, and a shard may be without a leader for seconds.
	toldKept = 10 * time.Second
)

// SpeedBook keeps the speeds that the leaders of shards have told. The zero value is empty.
type SpeedBook struct {
	entries map[ServerID]bookEntry
}

type bookEntry struct {
	spd   ServerSpeed
	shard Name
	token int64
	at    time.Time
}

// Add records speeds that were told, and reports whether they are used: those of a former leadership of the shard, or that can't be speeds, are not.
func (bok *SpeedBook) Add(now time.Time, told ToldSpeeds) bool {
	for id, ent := range bok.entries {
		if now.Sub(ent.at) > toldKept {
			delete(bok.entries, id)
			continue
		}
		if ent.shard == told.Shard && ent.token > told.Token {
			return false
		}
	}
	if len(told.Speeds) > maxToldSpeeds {
		return false
	}
	for _, spd := range told.Speeds {
		if !validFactor(spd.Factor) {
			return false
		}
	}
	if bok.entries == nil {
		bok.entries = map[ServerID]bookEntry{}
	}
	for _, spd := range told.Speeds {
		bok.entries[spd.Server] = bookEntry{spd: spd, shard: told.Shard, token: told.Token, at: now}
	}
	return true
}

// UseSpeeds makes a new leader begin with the speeds that former leaders of its servers have told, and returns how many it uses. A server that has
// started again since is treated as unknown.
func (ldr *Leader) UseSpeeds(now time.Time, bok *SpeedBook) int {
	num := 0
	for _, srv := range ldr.serverList {
		ent, told := bok.entries[srv.ent.ID]
		late := now.Sub(ent.at) > toldKept || ent.token >= ldr.token
		if !told || late || ent.spd.Incarnation != srv.incarnation || srv.spd.level.Observed() || !ldr.cfg.Features.ServerSpeeds {
			continue
		}
		srv.spd.level = learn.KnownLevel(math.Log(float64(ent.spd.Factor) / milli))
		num++
	}
	if num > 0 {
		ldr.speeds.checkedAt = time.Time{}
	}
	return num
}
