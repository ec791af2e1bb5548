// Package load drives entry instances with a seeded, bounded, open-loop arrival process and checks
// every answer against its own request.
//
// Arrivals do not wait for answers: a slow pool gets no fewer of them, and the response time of a
// job counts from the time that it was due, not from the time that the client got round to it.
package load
