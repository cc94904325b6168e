// Package testbed starts the programs of this repository as separate processes on loopback addresses, for tests, demos and
// measurements. The load balancer itself never starts a process.
package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Credentials that the example contracts and all deployments of this package use.
const (
	CustomerSecret = "demo-secret-0123456789abcdef"
	OperatorToken  = "demo-operator-0123456789abcdef"
	ClusterSecret  = "demo-cluster-0123456789abcdef"
)

// Process is a child process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of the process, valid once done is closed
	log  *lockedBuffer
}

// lockedBuffer is a buffer for concurrent use. It keeps the output of a process for failure reports.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Start starts a program and captures its output for Log. The name appears in errors and logs.
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), done: make(chan struct{}), log: &lockedBuffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The kernel kills the child when its parent dies, so that an aborted test leaves no process running. The child has its own
	// process group, so that Ctrl-C in a terminal doesn't reach it and the parent decides how it ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process, even if it is stopped by SIGSTOP, and waits for it to end. It may be called more than once.
func (p *Process) Kill() {
	if p.Ended() {
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the process to end and returns its exit error. If the context ends first, it returns the context's error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s is still running: %w", p.Name, ctx.Err())
	}
}

// Log returns the output so far.
func (p *Process) Log() string { return p.log.String() }

// buildFlags holds further arguments for go build.
var buildFlags []string

// Build compiles the named commands of this module into dir and returns the path of each.
func Build(dir string, commands ...string) (map[string]string, error) {
	paths := map[string]string{}
	for _, name := range commands {
		paths[name] = filepath.Join(dir, name)
		args := append([]string{"build", "-o", paths[name]}, buildFlags...)
		out, err := exec.Command("go", append(args, "github.com/arbutusspan/arbutusspan/cmd/"+name)...).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("build %s: %w\n%s", name, err, out)
		}
	}
	return paths, nil
}

// WriteJSON writes v as JSON to a file in dir, replacing an existing one, and returns its path.
func WriteJSON(dir, name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// PutJSON sends v as JSON in a PUT request.
func PutJSON(ctx context.Context, url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("PUT %s: %s: %s", url, resp.Status, text)
	}
	return nil
}

// GetJSON requests a JSON document and decodes it.
func GetJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Eventually calls check every 20 ms until it succeeds or the context ends. If the context ends, it returns the last error of check.
func Eventually(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("condition not met before the context ended: %w", err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
