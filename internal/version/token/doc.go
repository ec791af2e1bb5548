// Package token tells who a caller or operator is by the token that they show.
//
// A token is NAME.SECRET, where NAME is that of its record in the catalogue, such as riga/deckforge.
// Only a hash of the whole token is kept anywhere.
package token
