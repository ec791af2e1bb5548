// Package fault distinguishes faulty backend servers from faulty jobs.
//
// A backend server that fails each task at once looks idle and is given more tasks; a job that can never succeed makes sound
// backend servers look faulty. Evidence against a backend server therefore counts distinct jobs, weighted by how often the
// catalogue entry fails on other backend servers.
package fault
