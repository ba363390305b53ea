package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.wire.Message;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;

/** Forwards the answer to the caller as it arrives. Thread-safe. */
final class StreamingAnswerWriter implements CallAnswerWriter {

    private final CallerStream caller;

    StreamingAnswerWriter(CallerStream caller) {
        this.caller = caller;
    }

    @Override
    public void writeHead(int status, List<Message.Header> headers) {
        HttpFields.Mutable fields = HttpFields.build();
        headers.stream()
                .filter(
                        header ->
                                !CallsEndpoint.HOP_BY_HOP.contains(
                                        header.name().toLowerCase(Locale.ROOT)))
                .forEach(header -> fields.add(header.name(), header.value()));
        caller.start(status, fields);
    }

    @Override
    public void writePart(byte[] content) {
        caller.write(content);
    }

    @Override
    public void end() {
        caller.end();
    }

    @Override
    public void reportFailure(RequestFailure failure) {
        caller.fail(failure);
    }

    @Override
    public void fail(RequestFailure failure) {
        caller.fail(failure);
    }

    @Override
    public boolean isStarted() {
        return caller.isStarted();
    }
}
