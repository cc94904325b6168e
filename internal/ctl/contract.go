package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

func contractCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "contract document `FILE`, or - for standard input", Required: true}
	base := &cli.Uint64Flag{Name: "base", Usage: "`REVISION` that the change is based on; 0 for a new customer (default: the revision in force when the command starts)"}
	opID := &cli.StringFlag{Name: "op-id", Usage: "`ID` of an earlier attempt whose outcome is unknown; repeating it never applies the change twice"}
	wait := &cli.BoolFlag{Name: "wait", Usage: "wait until the revision is in force on all hosts", Value: true}
	return &cli.Command{Name: "contract", Usage: "publish and read contracts", Commands: []*cli.Command{
		{Name: "apply", Usage: "publish a contract document", Flags: []cli.Flag{file, base, opID, wait}, Action: withSession(applyContract)},
		{Name: "delete", Usage: "end a customer's contract", ArgsUsage: "CUSTOMER", Flags: []cli.Flag{base, opID, wait}, Action: withSession(deleteContract)},
		{Name: "get", Usage: "print the document in force", ArgsUsage: "CUSTOMER", Action: withSession(getContract)},
		{Name: "list", Usage: "list customers and revisions", Action: withSession(listContracts)},
		{Name: "history", Usage: "list a customer's newest revisions", ArgsUsage: "CUSTOMER", Action: withSession(contractHistory)},
		{Name: "diff", Usage: "compare a document with the one in force; exit code 0 also if they differ", Flags: []cli.Flag{file}, Action: withSession(diffContract)},
		{Name: "validate", Usage: "check a document without sending it anywhere", Flags: []cli.Flag{file}, Action: validateContract},
	}}
}

// readDocument reads and validates the document given by --file.
func readDocument(cmd *cli.Command) (json.RawMessage, *contract.Contract, error) {
	var data []byte
	var err error
	if name := cmd.String("file"); name == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, contract.MaxDocumentBytes+1))
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, nil, usageError("the document could not be read: %v", err)
	}
	doc, err := contract.Decode(data)
	if err != nil {
		return nil, nil, usageError("%s", trace.UserMessage(err))
	}
	return bytes.TrimSpace(data), doc, nil
}

func validateContract(_ context.Context, cmd *cli.Command) error {
	_, doc, err := readDocument(cmd)
	if err != nil {
		return err
	}
	t := &table{header: []string{"CUSTOMER", "VALID"}}
	t.add(doc.Customer, true)
	return newPrinter(cmd).print(map[string]any{"customer": doc.Customer, "valid": true}, t)
}

func applyContract(ctx context.Context, s *session) error {
	document, doc, err := readDocument(s.cmd)
	if err != nil {
		return err
	}
	return s.publish(ctx, configlog.Change{Customer: doc.Customer, Document: document})
}

func deleteContract(ctx context.Context, s *session) error {
	customer, err := argument(s.cmd, "CUSTOMER")
	if err != nil {
		return err
	}
	return s.publish(ctx, configlog.Change{Customer: customer, Deleted: true})
}

// publish sends a change, waits until it is in force unless --wait is false, and prints the outcome.
func (s *session) publish(ctx context.Context, c configlog.Change) error {
	c.OpID, c.Base = s.cmd.String("op-id"), s.cmd.Uint64("base")
	if c.OpID == "" {
		c.OpID = rand.Text()
	} else if !s.cmd.IsSet("base") {
		return usageError("--op-id repeats an earlier attempt: give the --base of that attempt too")
	}
	if !s.cmd.IsSet("base") {
		revision, err := s.revision(ctx, c.Customer)
		if err != nil {
			return err
		}
		c.Base = revision
	}
	var answer admin.PublishResponse
	_, err := s.call(ctx, http.MethodPost, "/v1/contracts", c, &answer)
	if err != nil {
		return addRepeatOptions(err, c)
	}
	inForce := 0
	if s.cmd.Bool("wait") {
		if inForce, err = s.awaitRevision(ctx, c.Customer, answer.Revision); err != nil {
			return err
		}
	}
	t := &table{header: []string{"CUSTOMER", "OUTCOME", "REVISION", "OP ID", "HOSTS IN FORCE"}}
	t.add(c.Customer, answer.Outcome, answer.Revision, answer.OpID, inForce)
	return s.print(struct {
		admin.PublishResponse
		HostsInForce int `json:"hosts_in_force,omitempty"`
	}{answer, inForce}, t)
}

// addRepeatOptions adds the options for repeating the change to errors that leave its outcome unknown.
func addRepeatOptions(err error, c configlog.Change) error {
	var e *Error
	if !errors.As(err, &e) || e.Code != ExitUnknown {
		return err
	}
	return &Error{Code: ExitUnknown, Message: fmt.Sprintf("%s; repeat the command with --op-id %s --base %d, which never applies the change twice", e.Message, c.OpID, c.Base)}
}

// revision returns the revision in force, or 0 for a new customer.
func (s *session) revision(ctx context.Context, customer string) (uint64, error) {
	var e configlog.Entry
	err := s.get(ctx, contractPath(customer), &e)
	var notFound *Error
	if errors.As(err, &notFound) && notFound.Code == ExitNotFound {
		return 0, nil
	}
	return e.Revision, err
}

// statusInterval is the interval between status queries while a change propagates to the hosts.
const statusInterval = 200 * time.Millisecond

// awaitRevision waits until every reachable host has the revision in force and returns their number.
func (s *session) awaitRevision(ctx context.Context, customer string, revision uint64) (int, error) {
	p := newProgress(os.Stderr)
	defer p.done()
	for {
		var hosts []admin.HostStatus
		if err := s.get(ctx, "/v1/status", &hosts); err != nil {
			return 0, err
		}
		reached, inForce := 0, 0
		for _, h := range hosts {
			if h.Error != "" {
				continue
			}
			reached++
			if h.Revisions[customer] >= revision {
				inForce++
			}
		}
		p.update("revision %d of %s is in force on %d of %d hosts", revision, customer, inForce, reached)
		if inForce == reached {
			return inForce, nil
		}
		select {
		case <-ctx.Done():
			return inForce, &Error{Code: ExitFailed, Message: fmt.Sprintf("revision %d of %s is accepted and durable, but in force on %d of %d hosts only; run arbutusctl status", revision, customer, inForce, reached)}
		case <-time.After(statusInterval):
		}
	}
}

func getContract(ctx context.Context, s *session) error {
	customer, err := argument(s.cmd, "CUSTOMER")
	if err != nil {
		return err
	}
	var e configlog.Entry
	if err := s.get(ctx, contractPath(customer), &e); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(e)
	}
	return s.printJSON(e.Document) // only the document, so that the output can be edited and applied
}

func listContracts(ctx context.Context, s *session) error {
	var list admin.ContractList
	if err := s.get(ctx, "/v1/contracts", &list); err != nil {
		return err
	}
	t := &table{header: []string{"CUSTOMER", "REVISION", "OP ID", "DELETED"}}
	for _, c := range list.Contracts {
		t.add(c.Customer, c.Revision, c.OpID, c.Deleted)
	}
	return s.print(list, t)
}

func contractHistory(ctx context.Context, s *session) error {
	customer, err := argument(s.cmd, "CUSTOMER")
	if err != nil {
		return err
	}
	var h admin.ContractHistory
	if err := s.get(ctx, contractPath(customer)+"/history", &h); err != nil {
		return err
	}
	t := &table{header: []string{"REVISION", "TIME", "OPERATOR", "OP ID"}}
	for _, e := range h.History {
		t.add(e.Revision, e.At.Format(time.RFC3339), e.Operator, e.OpID)
	}
	return s.print(h, t)
}

func diffContract(ctx context.Context, s *session) error {
	document, doc, err := readDocument(s.cmd)
	if err != nil {
		return err
	}
	var e configlog.Entry
	err = s.get(ctx, contractPath(doc.Customer), &e)
	var notFound *Error
	if err != nil && !(errors.As(err, &notFound) && notFound.Code == ExitNotFound) {
		return err
	}
	differences, err := diffDocuments(e.Document, document)
	if err != nil {
		return err
	}
	t := &table{header: []string{"FIELD", "IN FORCE", "DOCUMENT"}}
	for _, d := range differences {
		t.add(d.Pointer, d.Old, d.New)
	}
	return s.print(differences, t)
}

func contractPath(customer string) string { return "/v1/contracts/" + url.PathEscape(customer) }
