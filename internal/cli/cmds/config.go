// This file defines the config commands.

package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/rules"
)

func (p *program) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "The configuration: client accounts, services, job kinds, shares"}
	c.AddCommand(p.configGet(), p.configApply(), p.configDiff(), p.configHistory())
	return c
}

func readConfiguration(file string) (*wire.Configuration, error) {
	c := &wire.Configuration{}
	if err := readMessage(file, c); err != nil {
		return nil, err
	}
	if err := rules.Validate(c); err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return c, nil
}

func currentConfiguration(ctx context.Context, conn *grpc.ClientConn) (*wire.ConfigurationVersion, error) {
	r, err := wire.NewOperatorServiceClient(conn).GetConfiguration(ctx, &wire.GetConfigurationRequest{})
	return r.GetCurrent(), err
}

func (p *program) configGet() *cobra.Command {
	c := &cobra.Command{Use: "get", Short: "Print the configuration in force", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		v, err := currentConfiguration(ctx, conn)
		if err != nil {
			return err
		}
		return cl.print(v, func(w io.Writer) {
			fmt.Fprintf(os.Stderr, "version %d\n", v.Version)
			fmt.Fprintln(w, indentedJSON(v.Configuration))
		})
	})
}

func indentedJSON(m proto.Message) string {
	data, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(m)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (p *program) configApply() *cobra.Command {
	var expected int64
	var operation string
	c := &cobra.Command{Use: "apply FILE", Short: "Replace the configuration", Args: cobra.ExactArgs(1)}
	c.Flags().Int64Var(&expected, "expected-version", -1, "version that this one replaces; the one in force now when negative")
	c.Flags().StringVar(&operation, "operation-id", "", "the same id gives the same answer; a random one when empty")
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		configuration, err := readConfiguration(args[0])
		if err != nil {
			return err
		}
		if expected < 0 {
			v, err := currentConfiguration(ctx, conn)
			if err != nil {
				return err
			}
			expected = int64(v.Version)
		}
		r, err := wire.NewOperatorServiceClient(conn).ApplyConfiguration(ctx, &wire.ApplyConfigurationRequest{
			OperationId: randomIfEmpty(operation), ExpectedVersion: uint64(expected), Configuration: configuration,
		})
		if err != nil {
			return err
		}
		if err := cl.print(r, func(w io.Writer) {
			fmt.Fprintf(w, "version %d in force at %s\n", r.Current.GetVersion(), strings.Join(r.InForceAt, ", "))
		}); err != nil {
			return err
		}
		if r.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT {
			return &outcomeError{ExitFailed, fmt.Sprintf("conflict: version %d is in force, by operation %s; nothing was changed", r.Current.Version, r.Current.OperationId)}
		}
		return nil
	})
}

func (p *program) configDiff() *cobra.Command {
	c := &cobra.Command{Use: "diff FILE", Short: "Show what applying a file would change; exit code 1 if anything", Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		desired, err := readConfiguration(args[0])
		if err != nil {
			return err
		}
		v, err := currentConfiguration(ctx, conn)
		if err != nil {
			return err
		}
		lines := diff(elements(v.Configuration), elements(desired))
		for _, l := range lines {
			fmt.Fprintln(cl.out, l)
		}
		if len(lines) > 0 {
			return &outcomeError{ExitFailed, fmt.Sprintf("%d elements differ from version %d", len(lines), v.Version)}
		}
		return nil
	})
}

// element is one account, service or job kind of a configuration.
type element struct{ key, text string }

func elements(c *wire.Configuration) []element {
	var list []element
	for _, a := range c.GetClientAccounts() {
		list = append(list, element{"client account " + a.Name, compactJSON(a)})
	}
	for _, s := range c.GetServices() {
		list = append(list, element{"service " + s.Name, compactJSON(s)})
	}
	for _, k := range c.GetJobKinds() {
		list = append(list, element{"job kind " + k.ClientAccount + "/" + k.Name, compactJSON(k)})
	}
	return list
}

func compactJSON(m proto.Message) string {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err.Error()
	}
	// The whitespace in protojson's output differs between builds.
	return strings.ReplaceAll(string(data), ", ", ",")
}

func diff(have, want []element) []string {
	before := map[string]string{}
	for _, e := range have {
		before[e.key] = e.text
	}
	var lines []string
	for _, e := range want {
		old, ok := before[e.key]
		switch {
		case !ok:
			lines = append(lines, "+ "+e.key+" "+e.text)
		case old != e.text:
			lines = append(lines, "~ "+e.key+" "+old+" -> "+e.text)
		}
		delete(before, e.key)
	}
	for _, e := range have {
		if _, left := before[e.key]; left {
			lines = append(lines, "- "+e.key+" "+e.text)
		}
	}
	return lines
}

func (p *program) configHistory() *cobra.Command {
	var limit uint32
	c := &cobra.Command{Use: "history", Short: "List past versions, the newest first", Args: cobra.NoArgs}
	c.Flags().Uint32Var(&limit, "limit", 20, "at most this many")
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewOperatorServiceClient(conn).ListConfigurationHistory(ctx, &wire.ListConfigurationHistoryRequest{Limit: limit})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "VERSION\tAPPLIED AT\tOPERATION")
			for _, v := range r.Versions {
				fmt.Fprintf(w, "%d\t%s\t%s\n", v.Version, v.AppliedAt.AsTime().Format("2006-01-02T15:04:05.000Z"), v.OperationId)
			}
		})
	})
}
