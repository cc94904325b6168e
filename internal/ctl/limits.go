package ctl

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

func limitsCommand() *cli.Command {
	return &cli.Command{Name: "limits", Usage: "show enforced limits", Commands: []*cli.Command{{
		Name: "explain", Usage: "show every limit of a customer with the contract clause that it follows from", ArgsUsage: "CUSTOMER",
		Action: withSession(func(ctx context.Context, s *session) error {
			customer, err := argument(s.cmd, "CUSTOMER")
			if err != nil {
				return err
			}
			var answer admin.LimitsResponse
			if err := s.get(ctx, "/v1/limits/"+url.PathEscape(customer), &answer); err != nil {
				return err
			}
			t := &table{header: []string{"SERVICE", "LIMIT", "VALUE", "UNIT", "CLAUSE", "CONTRACT", "RULE"}}
			for _, service := range answer.Services {
				for _, c := range service.Clauses {
					t.add(service.Service, c.Limit, c.Value, c.Unit, c.Pointer, c.Contract, c.Rule)
				}
			}
			return s.print(answer, t)
		})}}}
}
