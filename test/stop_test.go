package test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// TestSignalsDuringStop guards against a gateway that ends with an error, and loses its last log lines, when signals arrive while it stops:
// further stop signals, and signals whose handlers log. The output is blocked, so that the process still waits for its log at the end.
func TestSignalsDuringStop(t *testing.T) {
	bin, err := testbed.Build(t.TempDir(), "arbutusspan")
	is.New(t).NoErr(err)
	for _, c := range []struct {
		name    string
		signals []os.Signal
	}{
		{"dump and reload", []os.Signal{syscall.SIGUSR1, syscall.SIGHUP}},
		{"stop", []os.Signal{syscall.SIGTERM, syscall.SIGINT}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ip := loopback(t, 102)
			path, err := testbed.WriteJSON(t.TempDir(), "settings.json", gateway.Settings{Host: "a-1", Zone: "a", CallerAddress: freeAddress(ip),
				ReadyAddress: freeAddress(ip), DirectoryAddress: freeAddress(ip), PeerAddress: freeAddress(ip), StateAddress: freeAddress(ip),
				StoreAddress: freeAddress(ip), RepeatRatio: 0.2, RepeatBurst: 10, GraceS: 1})
			is.NoErr(err)
			output, stdout, err := os.Pipe()
			is.NoErr(err)
			defer output.Close()
			setPipeSize(t, stdout, os.Getpagesize())
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var stderr bytes.Buffer
			cmd := exec.CommandContext(ctx, bin["arbutusspan"], "gateway", "--settings", path)
			cmd.Stdout, cmd.Stderr = stdout, &stderr
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			is.NoErr(cmd.Start())
			stdout.Close()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			started := make([]byte, 1)
			_, err = output.Read(started) // the first line follows the installation of all signal handlers
			is.NoErr(err)
			const fillingDumps = 60 // more than the pipe holds
			for range fillingDumps {
				is.NoErr(cmd.Process.Signal(syscall.SIGUSR1))
				time.Sleep(time.Millisecond)
			}
			is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
			for n := 0; ; n++ {
				select {
				case err := <-ended:
					if err != nil {
						t.Fatalf("%v: %.2000s", err, stderr.String())
					}
					return
				case <-time.After(time.Millisecond):
					_ = cmd.Process.Signal(c.signals[n%len(c.signals)]) // fails if the process has ended
				}
			}
		})
	}
}

// setPipeSize sets the capacity of a pipe in bytes.
func setPipeSize(t *testing.T, pipe *os.File, size int) {
	t.Helper()
	raw, err := pipe.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_FCNTL, fd, syscall.F_SETPIPE_SZ, uintptr(size))
	})
	if err != nil || errno != 0 {
		t.Fatal(err, errno)
	}
}
