package dev.foxtailshed.standins;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Reply;
import java.util.function.Consumer;

/**
 * Handles calls through a handler that is set after the server has started.
 *
 * <p>The handler of an engine needs the address of its server, so it is created after the start.
 * Until it is set, calls are answered with 503. Thread-safe.
 */
final class DeferredCallHandler implements Consumer<Call> {

    private volatile Consumer<Call> handler =
            call -> call.reply(Reply.error(503, "the engine is starting"));

    void setHandler(Consumer<Call> newHandler) {
        handler = newHandler;
    }

    @Override
    public void accept(Call call) {
        handler.accept(call);
    }
}
