// Package replay runs a seeded load against a small model of engines in virtual time, with the
// product's own decisions between them. It shows what a decision is worth without processes,
// sockets and clocks.
//
// The model knows what the decisions answer to: an engine reads prompts one after the other in
// pieces, generates a token for each of its streams with each piece, keeps what it has read
// until memory runs out, and copies kept tokens from others when it is told to.
package replay
