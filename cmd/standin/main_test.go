package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestListenAddresses guards against ranges that are off by one, and against invalid ranges that are accepted.
func TestListenAddresses(t *testing.T) {
	is := is.New(t)
	got, err := listenAddresses("", "127.0.0.2:9000-9002")
	is.NoErr(err)
	is.Equal(got, []string{"127.0.0.2:9000", "127.0.0.2:9001", "127.0.0.2:9002"})
	for _, bad := range []string{"", "127.0.0.2", "127.0.0.2:9000", "127.0.0.2:9002-9000", "127.0.0.2:1-60000"} {
		_, err := listenAddresses("", bad)
		is.True(err != nil)
	}
	_, err = listenAddresses("127.0.0.2:1", "127.0.0.2:1-2")
	is.True(err != nil)
}
