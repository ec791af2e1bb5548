package backendstandin

// Leave makes the stand-in take no new task for good and tells every session. The channel that it
// returns is closed once no task runs any more.
func (srv *Server) Leave() <-chan struct{} {
	srv.mu.Lock()
	open := srv.openSessions()
	if !srv.left {
		srv.left = true
		srv.closeIfIdle()
	}
	srv.mu.Unlock()
	for _, ses := range open {
		ses.announce()
	}
	return srv.idle
}

// isLeaving reports whether new tasks are refused; the caller holds srv.mu.
func (srv *Server) isLeaving() bool { return srv.left || srv.faults.GetLeaving() }

// closeIfIdle is called when a task ends and when the stand-in leaves; after that none starts, so
// that it finds no task running only once. The caller holds srv.mu.
func (srv *Server) closeIfIdle() {
	if srv.left && srv.free == srv.cfg.Slots {
		close(srv.idle)
	}
}
