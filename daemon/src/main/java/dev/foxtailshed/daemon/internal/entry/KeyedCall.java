package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.claims.ClaimService;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.claims.ClaimRequest;
import dev.foxtailshed.kernel.claims.RecordedAnswer;
import dev.foxtailshed.wire.Message;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Serves a call with an idempotency key: runs it only after claiming the key, or replays the
 * recorded answer if a call with the same key ran before. Thread-safe.
 */
final class KeyedCall {

    /** The request header that identifies a call and its resends. */
    static final String KEY_HEADER = "Idempotency-Key";

    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final EntryContext context;
    private final ClaimService claims;
    private final CallFlow flow;
    private final CallAnswerWriter answer;
    private final Runnable onPartEnded;
    private final ClaimRequest claim;

    KeyedCall(
            EntryContext context,
            ClaimService claims,
            ResolvedCall call,
            String key,
            CallFlow flow,
            CallAnswerWriter answer,
            Runnable onPartEnded) {
        this.context = context;
        this.claims = claims;
        this.flow = flow;
        this.answer = answer;
        this.onPartEnded = onPartEnded;
        this.claim =
                ClaimRequest.of(
                        call.deployment().name(),
                        call.work().method(),
                        call.work().path(),
                        key,
                        call.work().body(),
                        flow.label(),
                        claims.expiryEpochMillis(call.requestClass().timeoutMillis()));
    }

    /** Claims the key, then runs, replays or refuses the call. */
    void start() {
        claims.claim(claim)
                .thenAcceptAsync(
                        result -> {
                            if (result.isLeft()) {
                                refuse(result.getLeft());
                            } else {
                                result.get().ifPresentOrElse(this::replay, this::run);
                            }
                        },
                        context.executor());
    }

    private void refuse(RequestFailure failure) {
        flow.refuse(answer, failure, onPartEnded);
    }

    private void run() {
        RecordingAnswerWriter recorded =
                new RecordingAnswerWriter(
                        answer, claims, claim, context.timer(), context.executor(), onPartEnded);
        flow.start(recorded, () -> {});
    }

    private void replay(RecordedAnswer recorded) {
        RecordedAnswer.Content content = recorded.content().orElseThrow();
        List<Message.Header> headers = new ArrayList<>();
        content.headers().forEach(h -> headers.add(new Message.Header(h.name(), h.value())));
        headers.add(new Message.Header(REPLAYED_HEADER, "true"));
        flow.replay(
                answer,
                new Message.StoredAnswer(
                        recorded.status(),
                        headers,
                        Base64.getDecoder().decode(content.bodyBase64())),
                onPartEnded);
    }
}
