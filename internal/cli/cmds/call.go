// This file defines the call command.

package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) callCommand() *cobra.Command {
	var id, payloadFile string
	var idempotent, resend bool
	c := &cobra.Command{
		Use:   "call CLIENT-ACCOUNT SERVICE [PAYLOAD]",
		Short: "Send one latency-critical request and print the answer",
		Args:  cobra.RangeArgs(2, 3),
	}
	c.Flags().StringVar(&id, "request-id", "", "request id; a random one when empty")
	c.Flags().StringVar(&payloadFile, "payload-file", "", "file to send; - is standard input")
	c.Flags().BoolVar(&idempotent, "idempotent", false, "running the request twice does no harm")
	c.Flags().BoolVar(&resend, "resend", false, "this request id was sent before, and whether it ran isn't known")
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		payload, err := readPayload(args[2:], payloadFile)
		if err != nil {
			return usageError{err}
		}
		request := &wire.CallRequest{
			RequestId: randomIfEmpty(id), ClientAccount: args[0], Service: args[1],
			Payload: payload, Idempotent: idempotent, Resend: resend,
		}
		if deadline, ok := ctx.Deadline(); ok {
			request.Timeout = durationpb.New(time.Until(deadline) * 9 / 10)
		}
		response, err := wire.NewCallerServiceClient(conn).Call(ctx, request)
		if err != nil {
			return err
		}
		return cl.printCall(request, response)
	})
}

func randomIfEmpty(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

func readPayload(args []string, file string) ([]byte, error) {
	switch {
	case len(args) > 0 && file != "":
		return nil, fmt.Errorf("give the payload as an argument or a file, not both")
	case file == "-":
		return io.ReadAll(os.Stdin)
	case file != "":
		return os.ReadFile(file)
	case len(args) > 0:
		return []byte(args[0]), nil
	default:
		return nil, nil
	}
}

func (cl *client) printCall(request *wire.CallRequest, r *wire.CallResponse) error {
	if r.RequestId != request.RequestId {
		return &outcomeError{ExitUnknown, fmt.Sprintf("the answer is to request %q", r.RequestId)}
	}
	err := cl.print(r, func(w io.Writer) {
		if r.Outcome == wire.Outcome_OUTCOME_COMPLETED {
			fmt.Fprintf(w, "%s\n", r.Payload)
		}
	})
	switch {
	case err != nil:
		return err
	case r.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		return &outcomeError{ExitNotRun, fmt.Sprintf("not run: %s; come back in %v", r.Reason, r.RetryAfter.AsDuration())}
	case r.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return &outcomeError{ExitUnknown, "outcome unknown: " + r.Reason}
	case r.Status >= 400:
		return &outcomeError{ExitFailed, fmt.Sprintf("the backend server answered with status %d", r.Status)}
	default:
		return nil
	}
}
