package soak

import (
	"context"
	"net"
	"net/http"
	"time"

	"chestnutstack/platform/standin"
)

const (
	// applyTime is within what a version is in force everywhere (2 s, the platform's pages), with room for a machine
	// that is shared with other plays.
	applyTime = 2500 * time.Millisecond
	// probeGap is the pause between two questions to an instance.
	probeGap = 150 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = time.Second
)

// watchVersion notes a version that was just published.
func (ply *play) watchVersion(number int) {
	ply.mu.Lock()
	defer ply.mu.Unlock()
	ply.versions = append(ply.versions, published{number: number, at: time.Now()})
}

// due returns the newest version that has to be in force.
func (ply *play) due(now time.Time) published {
	ply.mu.Lock()
	defer ply.mu.Unlock()
	newest := published{number: 1}
	for _, pub := range ply.versions {
		if now.Sub(pub.at) > applyTime && pub.number > newest.number {
			newest = pub
		}
	}
	return newest
}

// probe asks an instance for the versions' own queues, over and over: one is there if just that version is in force.
func (ply *play) probe(ctx context.Context, ins *instance) error {
	trn := &http.Transport{DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext}
	cli := standin.NewClient(&http.Client{Transport: trn})
	defer trn.CloseIdleConnections()
	newest, seenIn := 0, 0
	for sleep(ctx, probeGap) {
		life, _ := ins.lifetime()
		if life != seenIn {
			newest, seenIn = 0, life
		}
		from := time.Now()
		due := ply.due(from)
		for number := 1; number <= ply.published(); number++ {
			if !ply.shows(ctx, cli, ins, number) {
				continue
			}
			if now, _ := ins.lifetime(); now != life {
				break
			}
			ply.chk.inForce(ins.mch.Name, newest, number)
			newest = max(newest, number)
		}
		_, stopped := ins.lifetime()
		if newest > 0 && newest < due.number && !stopped && ply.chk.calm(due.at, time.Now()) {
			ply.chk.note("CONFIG: %s still has version %d %v after %d", ins.mch.Name, newest, from.Sub(due.at), due.number)
		}
	}
	return nil
}

func (ply *play) published() int {
	ply.sys.mu.Lock()
	defer ply.sys.mu.Unlock()
	return ply.sys.version
}

// shows reports whether an instance has the queue of a version.
func (ply *play) shows(ctx context.Context, cli *standin.Client, ins *instance, number int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rep, err := cli.Queue(ctx, callerAddress(ins), versionQueue(number))
	return err == nil && rep.Status == http.StatusOK
}
