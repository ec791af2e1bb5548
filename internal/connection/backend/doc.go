// Package backend keeps the sessions of an entry instance with backend servers.
//
// A Pool holds one link to each backend server that it was told to connect to. What is to be said
// on a link gathers in an outbox; a writer sends all of it as one batch as soon as the batch before
// it is written, so that batches grow with the load and an idle link adds no delay.
//
// The pool never sends a start twice. A start that was not yet given to the transport when its
// session ended is reported as unsent, which is proof that it did not run; any other may have run.
// Each session has a transport and so a connection of its own: all calls on one HTTP/2 connection
// share its fate, so that a fresh stream on a connection gone silent would be silent too.
package backend
