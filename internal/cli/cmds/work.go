// This file defines the work and catalog commands.

package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) workCommand() *cobra.Command {
	c := &cobra.Command{Use: "work", Short: "Jobs of steps and tasks, addressed by their queue's host and a path"}
	c.AddCommand(p.workSubmit(), p.workGet(), p.workExplain(), p.workCancel())
	return c
}

func (p *program) catalogCommand() *cobra.Command {
	c := &cobra.Command{Use: "catalog", Short: "The queues that jobs of steps are handed in at"}
	c.AddCommand(p.catalogGet(), p.catalogApply())
	return c
}

func (p *program) workSubmit() *cobra.Command {
	c := &cobra.Command{Use: "submit HOST PATH FILE", Short: "Submit a job; FILE is a WorkSpec in JSON, - is standard input", Args: cobra.ExactArgs(3)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		spec := &wire.WorkSpec{}
		if err := readMessage(args[2], spec); err != nil {
			return err
		}
		r, err := wire.NewWorkServiceClient(conn).SubmitWork(ctx, &wire.SubmitWorkRequest{Target: workTarget(args), Spec: spec})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) { fmt.Fprintln(w, "accepted") })
	})
}

func (p *program) workGet() *cobra.Command {
	c := &cobra.Command{Use: "get HOST PATH", Short: "Show a job with its steps and tasks, or how many jobs of a queue wait", Args: cobra.ExactArgs(2)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewWorkServiceClient(conn).InspectWork(ctx, &wire.InspectWorkRequest{Target: workTarget(args), WithJob: true})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) { printWork(w, r) })
	})
}

func (p *program) workCancel() *cobra.Command {
	c := &cobra.Command{Use: "cancel HOST PATH", Short: "Cancel a job", Args: cobra.ExactArgs(2)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewWorkServiceClient(conn).CancelWork(ctx, &wire.CancelWorkRequest{Target: workTarget(args)})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) { fmt.Fprintln(w, "cancelled") })
	})
}

func (p *program) catalogGet() *cobra.Command {
	c := &cobra.Command{Use: "get", Short: "Show the catalog in force", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewWorkServiceClient(conn).GetCatalog(ctx, &wire.GetCatalogRequest{})
		if err != nil {
			return err
		}
		return cl.print(r.Catalog, func(w io.Writer) {
			fmt.Fprintf(w, "version\t%d\n", r.Catalog.GetVersion())
			for _, q := range r.Catalog.GetQueues() {
				fmt.Fprintf(w, "queue\t%s\t%s%s\tpool %s\tpriority %d\n", q.Name, q.Host, q.PathPrefix, q.Pool, q.Priority)
			}
		})
	})
}

func (p *program) catalogApply() *cobra.Command {
	c := &cobra.Command{Use: "apply FILE", Short: "Put a catalog in force unless a higher version is; FILE is a Catalog in JSON", Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		catalog := &wire.Catalog{}
		if err := readMessage(args[0], catalog); err != nil {
			return err
		}
		r, err := wire.NewWorkServiceClient(conn).PutCatalog(ctx, &wire.PutCatalogRequest{Catalog: catalog})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) { fmt.Fprintf(w, "version %d is in force\n", r.Version) })
	})
}

func workTarget(args []string) *wire.WorkTarget {
	return &wire.WorkTarget{Host: args[0], Path: args[1]}
}

// printAnswer prints a message, or returns an error if the answer is a refusal.
func (cl *client) printAnswer(m proto.Message, answer wire.WorkAnswer, reason string, text func(io.Writer)) error {
	if answer == wire.WorkAnswer_WORK_ANSWER_DONE {
		return cl.print(m, text)
	}
	name := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(answer.String(), "WORK_ANSWER_"), "_", " "))
	if reason != "" {
		name += ": " + reason
	}
	code := ExitFailed
	if answer == wire.WorkAnswer_WORK_ANSWER_INVALID {
		code = ExitUsage
	}
	return &outcomeError{code: code, reason: name}
}

func printWork(w io.Writer, r *wire.InspectWorkResponse) {
	if r.Job == nil {
		fmt.Fprintf(w, "pending\t%d\n", r.Pending)
		return
	}
	fmt.Fprintf(w, "job\t%s\n", r.Job.Id)
	fmt.Fprintf(w, "queue\t%s\n", r.Job.Queue)
	fmt.Fprintf(w, "state\t%s\n", strings.ToLower(strings.TrimPrefix(r.State.String(), "WORK_STATE_")))
	for i, s := range r.Job.Spec.Steps {
		done, running := 0, 0
		for _, t := range r.Job.Tasks {
			if int(t.Step) == i && t.Done {
				done++
			} else if int(t.Step) == i && t.Agent != "" {
				running++
			}
		}
		fmt.Fprintf(w, "step %d\t%d tasks\t%d done\t%d running\n", i, s.Count, done, running)
	}
	for _, t := range r.Job.Tasks {
		fmt.Fprintf(w, "task %d.%d.%d\trun %d\t%d failures\t%d crashes\t%s\n", t.Occurrence, t.Step, t.Index, t.Run, t.Failures, t.Crashes, t.Agent)
	}
}
