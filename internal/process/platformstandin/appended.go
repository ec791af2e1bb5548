package platformstandin

// Appended returns how many records a stream has taken since New. It asks past the faults in force: a
// session that tells the stand-in to lose replies has to know when an append took effect, and every
// answer over the network is lost then.
func (sin *StandIn) Appended(stream string) uint64 {
	sin.mut.Lock()
	defer sin.mut.Unlock()
	str, ok := sin.streams[stream]
	if !ok {
		return 0
	}
	return str.next() - firstOffset
}
