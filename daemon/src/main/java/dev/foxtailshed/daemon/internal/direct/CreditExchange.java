package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.internal.direct.CreditMessages.DrawRequest;
import dev.foxtailshed.daemon.internal.direct.CreditMessages.Envelope;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.http.BodyAccumulator;
import dev.foxtailshed.daemon.internal.http.ClientRequests;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.kernel.direct.quota.Collect;
import dev.foxtailshed.kernel.direct.quota.Draw;
import dev.foxtailshed.kernel.direct.quota.DrawReply;
import dev.foxtailshed.kernel.direct.quota.KnownEntryCount;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Transfers workspaces' credit between entries: sends draws and collections, and answers those of
 * other entries.
 *
 * <p>Each message is sent once, since a repetition would transfer the credit twice; the credit of a
 * lost message is lost. Thread-safe; the accounts are used on the executor only.
 */
final class CreditExchange implements Endpoint {

    private static final String DRAW_PATH = "/peer/quota/draw";
    private static final String COLLECT_PATH = "/peer/quota/collect";
    private static final String CONTENT_TYPE = "application/msgpack";

    /** Timeout of a call; the requests that wait for its credit wait no longer either. */
    private static final long TIMEOUT_MILLIS = 500;

    /** The names and amounts of thousands of workspaces. */
    private static final int MAXIMUM_BYTES = 1 << 20;

    private final HttpClient httpClient;
    private final Executor executor;
    private final Account account;

    /** This entry's side of the transfers; called on the executor. */
    interface Account {
        /** Gives credit of a pool, which is subtracted before this returns. */
        DrawReply onDraw(DrawRequest request);

        /** Gives local credit, which is subtracted before this returns. */
        Map<String, Double> onCollect(List<String> workspaces);

        /** Returns the number of entries that this entry divides limits by, if it knows one. */
        Optional<KnownEntryCount> knownEntryCount();

        /** Receives the number of entries that another entry divides limits by. */
        void onKnownEntryCount(KnownEntryCount known);
    }

    CreditExchange(HttpClient httpClient, Executor executor, Account account) {
        this.httpClient = httpClient;
        this.executor = executor;
        this.account = account;
    }

    /** Sends a draw; the reply is empty if it was lost. Replies arrive on the executor. */
    void send(Draw draw, Consumer<Optional<DrawReply>> next) {
        byte[] body =
                CreditMessages.encode(
                        new DrawRequest(draw.workspace(), draw.neededTokens(), draw.wantedTokens()),
                        account.knownEntryCount());
        send(draw.home(), DRAW_PATH, body, CreditMessages::decodeDrawReply, next);
    }

    /** Sends a collection; the reply is empty if it was lost. Replies arrive on the executor. */
    void send(Collect collect, Consumer<Optional<Map<String, Double>>> next) {
        byte[] body = CreditMessages.encode(collect.workspaces(), account.knownEntryCount());
        send(collect.peer(), COLLECT_PATH, body, CreditMessages::decodeTokens, next);
    }

    private <T> void send(
            String peer,
            String path,
            byte[] body,
            Function<byte[], Envelope<T>> decoder,
            Consumer<Optional<T>> next) {
        InetSocketAddress address = SettingParsers.address(peer);
        ClientRequests.send(
                httpClient
                        .newRequest(address.getHostString(), address.getPort())
                        .method(HttpMethod.POST)
                        .path(path)
                        .body(new BytesRequestContent(CONTENT_TYPE, body))
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                new BufferingResponseListener(MAXIMUM_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        Optional<Envelope<T>> reply = read(result, getContent());
                        if (reply.isEmpty()) {
                            logLost(peer, path, result);
                        }
                        executor.execute(() -> next.accept(reply.map(CreditExchange.this::open)));
                    }

                    private Optional<Envelope<T>> read(Result result, byte[] content) {
                        boolean succeeded =
                                result.isSucceeded()
                                        && result.getResponse().getStatus() == HttpStatus.OK_200;
                        return succeeded ? decode(peer, content, decoder) : Optional.empty();
                    }
                });
    }

    /** Returns the message of an envelope; must be called on the executor. */
    private <T> T open(Envelope<T> envelope) {
        envelope.entries().ifPresent(account::onKnownEntryCount);
        return envelope.message();
    }

    private static void logLost(String peer, String path, Result result) {
        EventLog.log(
                EventCode.CREDIT_NOT_TRANSFERRED,
                Field.of("peer", peer),
                Field.of("path", path),
                Field.of(
                        "cause",
                        result.isFailed()
                                ? result.getFailure().getClass().getSimpleName()
                                : "status " + result.getResponse().getStatus()));
    }

    private static <T> Optional<T> decode(
            Object peer, byte[] content, Function<byte[], T> decoder) {
        try {
            return Optional.of(decoder.apply(content));
        } catch (IllegalArgumentException e) {
            EventLog.log(
                    EventCode.PEER_UNREADABLE,
                    Field.of("peer", peer),
                    Field.of("cause", e.getMessage()));
            return Optional.empty();
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!HttpMethod.POST.is(request.getMethod())) {
            return false;
        }
        Function<byte[], byte[]> responder =
                switch (Request.getPathInContext(request)) {
                    case DRAW_PATH -> this::answerDraw;
                    case COLLECT_PATH -> this::answerCollect;
                    default -> null;
                };
        if (responder == null) {
            return false;
        }
        BodyAccumulator.read(request, MAXIMUM_BYTES)
                .whenComplete(
                        (body, failure) ->
                                executor.execute(
                                        () ->
                                                respond(
                                                        Request.getRemoteAddr(request),
                                                        Optional.ofNullable(body)
                                                                .flatMap(Function.identity()),
                                                        responder,
                                                        response,
                                                        callback)));
        return true;
    }

    private byte[] answerDraw(byte[] body) {
        DrawReply reply = account.onDraw(open(CreditMessages.decodeDrawRequest(body)));
        return CreditMessages.encode(reply, account.knownEntryCount());
    }

    private byte[] answerCollect(byte[] body) {
        Map<String, Double> tokens = account.onCollect(open(CreditMessages.decodeWorkspaces(body)));
        return CreditMessages.encode(tokens, account.knownEntryCount());
    }

    private static void respond(
            String peer,
            Optional<byte[]> body,
            Function<byte[], byte[]> responder,
            Response response,
            Callback callback) {
        Optional<byte[]> reply = body.flatMap(bytes -> decode(peer, bytes, responder));
        if (reply.isEmpty()) {
            response.setStatus(HttpStatus.BAD_REQUEST_400);
            callback.succeeded();
        } else {
            response.write(true, ByteBuffer.wrap(reply.get()), callback);
        }
    }
}
