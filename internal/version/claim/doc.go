// Package claim decides who may start a submission that must run at most once.
//
// It is pure. Claims are records of a stream of the platform's log, and the total order of the
// stream decides: the lowest offset for a submission wins. Whoever reads the stream comes to the
// same winner, so no lock service and no agreement between entry instances is needed.
package claim
