package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.direct.CallOutcome;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.EventStreamSplitter;
import dev.foxtailshed.kernel.direct.FailureAction;
import dev.foxtailshed.kernel.direct.ServerSelector;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;

/** A request with a streamed response to a service without model servers. */
final class PlainStreamFlow extends DirectFlow implements StreamRelay.Listener {

    private final ServerSelector selector;
    private final EventStreamSplitter splitter;
    private Optional<StreamRelay> current = Optional.empty();

    PlainStreamFlow(
            DirectContext context,
            CallerRequest request,
            CallerStream caller,
            CrashTracker crashTracker,
            Supplier<List<DirectServer>> servers,
            ServerSelector selector) {
        super(context, request, caller, crashTracker, servers);
        this.selector = selector;
        this.splitter = new EventStreamSplitter(newEventSequence());
    }

    @Override
    void begin() {
        chooseServer(selector).ifPresent(this::send);
    }

    private void send(DirectServer server) {
        StreamRelay relay =
                new StreamRelay(context, this, server, plainOptions(server), splitter, this);
        current = Optional.of(relay);
        relay.send();
    }

    @Override
    void cancelWork() {
        current.ifPresent(StreamRelay::cancel);
    }

    @Override
    boolean hasAttemptInFlight() {
        return current.isPresent();
    }

    @Override
    public void onFirstEvent(StreamRelay relay) {
        if (HttpStatus.isSuccess(relay.status())) {
            recordAnswer();
        }
    }

    @Override
    public void onEnd(StreamRelay relay, CallOutcome outcome, String detail) {
        current = Optional.empty();
        recordAttemptEnd(relay.call(), outcome, splitter.hasEvents(), splitter.eventCountOfRun());
        if (isFinished()) {
            return;
        }
        boolean complete = outcome == CallOutcome.ANSWERED || outcome == CallOutcome.SERVER_ERROR;
        if (complete) {
            endResponse(relay.status());
        } else if (!isResponseStarted() && chooseAction(outcome) == FailureAction.TRY_ANOTHER) {
            begin();
        } else {
            fail(detail);
        }
    }
}
