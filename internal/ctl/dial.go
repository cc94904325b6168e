package ctl

import (
	"errors"
	"net"
)

// isDialError reports whether the connection could not be opened, which means that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
