// This file defines the job commands.

package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) jobCommand() *cobra.Command {
	c := &cobra.Command{Use: "job", Short: "Batch and standing work"}
	c.AddCommand(p.jobSubmit(), p.jobGet(), p.jobList(), p.jobCancel(), p.jobWait())
	return c
}

func (p *program) jobSubmit() *cobra.Command {
	var key, payloadFile string
	var urgent bool
	var runTime time.Duration
	var cpu, memory, accelerators uint64
	c := &cobra.Command{
		Use: "submit CLIENT-ACCOUNT JOB-KIND [PAYLOAD]", Short: "Submit a job and print its id", Args: cobra.RangeArgs(2, 3),
	}
	c.Flags().StringVar(&key, "key", "", "idempotency key: the same key names the same job; a random one when empty")
	c.Flags().StringVar(&payloadFile, "payload-file", "", "file to send; - is standard input")
	c.Flags().BoolVar(&urgent, "urgent", false, "place before all jobs that aren't urgent")
	c.Flags().DurationVar(&runTime, "run-time", 0, "declared run time")
	c.Flags().Uint64Var(&cpu, "milli-processors", 0, "thousandths of a processor; the job kind's resources when 0")
	c.Flags().Uint64Var(&memory, "memory-bytes", 0, "bytes of memory")
	c.Flags().Uint64Var(&accelerators, "accelerators", 0, "accelerators")
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		payload, err := readPayload(args[2:], payloadFile)
		if err != nil {
			return usageError{err}
		}
		spec := &wire.JobSpec{ClientAccount: args[0], JobKind: args[1], Payload: payload, Urgent: urgent}
		if runTime > 0 {
			spec.DeclaredRunTime = durationpb.New(runTime)
		}
		if cpu > 0 || memory > 0 || accelerators > 0 {
			spec.Resources = &wire.Resources{MilliProcessors: cpu, MemoryBytes: memory, Accelerators: accelerators}
		}
		r, err := wire.NewJobServiceClient(conn).Submit(ctx, &wire.SubmitRequest{IdempotencyKey: randomIfEmpty(key), Spec: spec})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) { fmt.Fprintln(w, r.Job.JobId) })
	})
}

func (p *program) jobGet() *cobra.Command {
	c := &cobra.Command{Use: "get JOB-ID", Short: "Show a job", Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewJobServiceClient(conn).Get(ctx, &wire.GetRequest{JobId: args[0]})
		if err != nil {
			return err
		}
		return cl.print(r.Job, func(w io.Writer) { printJob(w, r.Job) })
	})
}

func printJob(w io.Writer, j *wire.Job) {
	fmt.Fprintf(w, "job\t%s\n", j.JobId)
	fmt.Fprintf(w, "client account\t%s\n", j.Spec.ClientAccount)
	fmt.Fprintf(w, "job kind\t%s\n", j.Spec.JobKind)
	fmt.Fprintf(w, "state\t%s\n", stateName(j.State))
	fmt.Fprintf(w, "attempt\t%d\n", j.Attempt)
	fmt.Fprintf(w, "worker\t%s\n", j.WorkerId)
	fmt.Fprintf(w, "checkpoint\t%d\n", j.Checkpoint)
	fmt.Fprintf(w, "evictions\t%d\n", j.Evictions)
	fmt.Fprintf(w, "failures\t%d\n", j.Failures)
	if j.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", j.Reason)
	}
	if len(j.Result) > 0 {
		fmt.Fprintf(w, "result\t%s\n", j.Result)
	}
}

func stateName(s wire.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}

func parseState(name string) (wire.JobState, error) {
	if name == "" {
		return wire.JobState_JOB_STATE_UNSPECIFIED, nil
	}
	value, ok := wire.JobState_value["JOB_STATE_"+strings.ToUpper(name)]
	if !ok {
		return 0, usageError{fmt.Errorf("unknown state %q; allowed: queued, running, finished, failed, cancelled, outcome_unknown", name)}
	}
	return wire.JobState(value), nil
}

func (p *program) jobList() *cobra.Command {
	var account, state, after string
	var limit uint32
	c := &cobra.Command{Use: "list", Short: "List jobs in submission order", Args: cobra.NoArgs}
	c.Flags().StringVar(&account, "client-account", "", "only this client account's")
	c.Flags().StringVar(&state, "state", "", "only those in this state")
	c.Flags().StringVar(&after, "after", "", "only those submitted after this job")
	c.Flags().Uint32Var(&limit, "limit", 100, "at most this many")
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		jobState, err := parseState(state)
		if err != nil {
			return err
		}
		r, err := wire.NewJobServiceClient(conn).List(ctx, &wire.ListRequest{ClientAccount: account, State: jobState, Limit: limit, AfterJobId: after})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "JOB\tCLIENT ACCOUNT\tKIND\tSTATE\tATTEMPT\tWORKER")
			for _, j := range r.Jobs {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", j.JobId, j.Spec.ClientAccount, j.Spec.JobKind, stateName(j.State), j.Attempt, j.WorkerId)
			}
		})
	})
}

func (p *program) jobCancel() *cobra.Command {
	c := &cobra.Command{Use: "cancel JOB-ID...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewJobServiceClient(conn).Cancel(ctx, &wire.CancelRequest{JobIds: args})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			for _, j := range r.Jobs {
				fmt.Fprintf(w, "%s\t%s\n", j.JobId, stateName(j.State))
			}
		})
	})
}

func (p *program) jobWait() *cobra.Command {
	c := &cobra.Command{Use: "wait JOB-ID", Short: "Wait until a job has ended", Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		watch, err := wire.NewJobServiceClient(conn).Watch(ctx, &wire.WatchRequest{JobId: args[0]})
		if err != nil {
			return err
		}
		var last *wire.Job
		for {
			r, err := watch.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			last = r.Job
		}
		if err := cl.print(last, func(w io.Writer) { printJob(w, last) }); err != nil {
			return err
		}
		switch last.GetState() {
		case wire.JobState_JOB_STATE_FINISHED:
			return nil
		case wire.JobState_JOB_STATE_OUTCOME_UNKNOWN:
			return &outcomeError{ExitUnknown, last.Reason}
		default:
			return &outcomeError{ExitFailed, fmt.Sprintf("the job is %s: %s", stateName(last.GetState()), last.GetReason())}
		}
	})
}
