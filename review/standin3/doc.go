// Command standin3 plays the scripts 4 and 6 of the review: it starts the daemons of the deploy file beside stand-ins of the platform's store and of
// backend servers, on loopback addresses, and checks one rule of the users' pages.
package main
