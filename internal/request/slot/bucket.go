package slot

// addToBucket puts the server into the bucket of its free slots, and adds these to the totals.
func (pol *Pool) addToBucket(srv *Server) {
	if srv.removed {
		// A timer may still reference a server that was removed.
		return
	}
	free := srv.Free()
	srv.bucket = int(min(free, topBucket))
	srv.freeInBucket = free
	if srv.bucket == 0 {
		return
	}
	grp := srv.group
	srv.pos = len(grp.buckets[srv.bucket])
	grp.buckets[srv.bucket] = append(grp.buckets[srv.bucket], srv)
	grp.nonEmpty |= 1 << srv.bucket
	pol.free += free
	if srv.home {
		pol.homeFree += free
	}
}

// removeFromBucket removes the server from its bucket, and its free slots from the totals.
func (pol *Pool) removeFromBucket(srv *Server) {
	if srv.bucket == 0 {
		return
	}
	grp := srv.group
	bkt := grp.buckets[srv.bucket]
	last := len(bkt) - 1
	bkt[srv.pos] = bkt[last]
	bkt[srv.pos].pos = srv.pos
	bkt[last] = nil
	grp.buckets[srv.bucket] = bkt[:last]
	if last == 0 {
		grp.nonEmpty &^= 1 << srv.bucket
	}
	pol.free -= srv.freeInBucket
	if srv.home {
		pol.homeFree -= srv.freeInBucket
	}
	srv.bucket = 0
}
