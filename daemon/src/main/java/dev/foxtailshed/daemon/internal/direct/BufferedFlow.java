package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.BufferBudgets;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealth;
import dev.foxtailshed.kernel.direct.ServerSelector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request without a streamed response: the response is buffered and sent when it is complete, so
 * that a broken attempt can be retried.
 *
 * <p>An attempt without a response for much longer than the server's usual latency is aborted if
 * the request may run again at another server.
 */
final class BufferedFlow extends DirectFlow {

    /** Memory of the largest response that is buffered; responses of plain services are small. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;

    /**
     * Time without a response after which another server is tried, in multiples of the usual
     * latency.
     */
    private static final double TIMEOUT_LATENCIES = 4;

    private final ServerSelector selector;
    private Optional<Attempt> current = Optional.empty();

    BufferedFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            CrashTracker crashTracker,
            Supplier<List<DirectServer>> servers,
            ServerSelector selector) {
        super(context, request, caller, crashTracker, servers);
        this.selector = selector;
    }

    @Override
    void begin() {
        chooseServer(selector).ifPresent(this::send);
    }

    private void send(DirectServer server) {
        current = Optional.of(new Attempt(server));
        current.get().call.send();
        setResponseTimeout(current.get().call);
    }

    @Override
    void cancelWork() {
        current.ifPresent(attempt -> attempt.call.cancel());
    }

    @Override
    boolean hasAttemptInFlight() {
        return current.isPresent();
    }

    private void setResponseTimeout(BackendCall call) {
        if (!request.route().repeatability().mayRunAgain() || remainingServers() <= 0) {
            return;
        }
        ServerHealth health = context.health().get(call.server());
        double timeoutMillis =
                Math.max(
                        request.route().targetLatencyMillis() / 2.0,
                        TIMEOUT_LATENCIES * health.latencyMillis());
        call.setResponseTimeout((long) Math.min(timeoutMillis, remainingMillis() / 2.0));
    }

    private void onAttemptEnd(Attempt attempt, CallOutcome outcome, String detail) {
        current = Optional.empty();
        recordAttemptEnd(attempt.call, outcome, attempt.status != 0, 1);
        if (isFinished()) {
            return;
        }
        if (outcome == CallOutcome.ANSWERED) {
            sendResponse(attempt.status, attempt.headers, attempt.body);
            return;
        }
        switch (chooseAction(outcome)) {
            case TRY_ANOTHER -> begin();
            case PASS_ON -> sendResponse(attempt.status, attempt.headers, attempt.body);
            default -> fail(detail, outcome == CallOutcome.SILENT, retryDelayMillis());
        }
    }

    /** One attempt and the part of its response that has arrived. */
    private final class Attempt implements BackendCall.Listener {
        private final List<byte[]> body = new ArrayList<>();
        private final BackendCall call;
        private final BufferBudget.Account account;
        private long heldBytes;
        private int status;
        private HttpFields headers = HttpFields.EMPTY;

        Attempt(DirectServer server) {
            call = new BackendCall(context, request, server, plainOptions(server), this);
            account = context.responseBuffers().open(call::giveUpForMemory);
        }

        @Override
        public void onHead(int headStatus, HttpFields headHeaders) {
            status = headStatus;
            headers = headHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            heldBytes += bytes.length + BufferBudgets.PART_OVERHEAD_BYTES;
            if (heldBytes > MAXIMUM_RESPONSE_BYTES) {
                call.abort(CallOutcome.BROKEN, "the response is too large");
            } else {
                body.add(bytes);
                account.resize(heldBytes);
            }
        }

        @Override
        public void onEnd(CallOutcome outcome, String detail) {
            account.close();
            onAttemptEnd(this, outcome, detail);
        }
    }
}
