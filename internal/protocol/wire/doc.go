// Package wire defines the messages between entry hosts, their CBOR encoding, the handshake that authenticates a connection and
// the message authentication code of a datagram.
package wire
