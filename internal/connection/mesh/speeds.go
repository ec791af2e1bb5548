package mesh

import (
	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/shard"
)

// encodeSpeeds returns the speeds of a shard's servers as a batch has them.
func encodeSpeeds(msg ServerSpeeds) *meshpb.ServerSpeeds {
	wir := &meshpb.ServerSpeeds{Shard: string(msg.Told.Shard), Token: msg.Told.Token}
	for _, spd := range msg.Told.Speeds {
		wir.Speeds = append(wir.Speeds, &meshpb.ServerSpeed{Server: string(spd.Server), Incarnation: int64(spd.Incarnation), Factor: spd.Factor})
	}
	return wir
}

// decodeSpeeds returns the speeds of a shard's servers in a batch.
func decodeSpeeds(wir *meshpb.ServerSpeeds) ServerSpeeds {
	msg := ServerSpeeds{Told: shard.ToldSpeeds{Shard: shard.Name(wir.GetShard()), Token: wir.GetToken()}}
	for _, spd := range wir.GetSpeeds() {
		msg.Told.Speeds = append(msg.Told.Speeds, shard.ServerSpeed{
			Server: shard.ServerID(spd.GetServer()), Incarnation: shard.Incarnation(spd.GetIncarnation()), Factor: spd.GetFactor(),
		})
	}
	return msg
}
