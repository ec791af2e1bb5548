// Package platform speaks to the platform: its append-only log and its list of instances.
//
// Client is the plain client. Appender adds records so that a lost reply does no harm, and Follower
// keeps the catalogue current from the log, or from peers when the log is out of reach.
package platform
