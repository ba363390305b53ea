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
 * A call with an idempotency key: it runs only once its key is claimed, and answers from the claim
 * if a call with the same key ran before. Thread-safe.
 */
final class KeyedCall {

    /** The header by which a caller names a call and its resends. */
    static final String KEY_HEADER = "Idempotency-Key";

    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final EntryContext context;
    private final ClaimService claims;
    private final CallFlow flow;
    private final CallAnswerWriter answer;
    private final Runnable leave;
    private final ClaimRequest claim;

    KeyedCall(
            EntryContext context,
            ClaimService claims,
            ResolvedCall task,
            String key,
            CallFlow flow,
            CallAnswerWriter answer,
            Runnable leave) {
        this.context = context;
        this.claims = claims;
        this.flow = flow;
        this.answer = answer;
        this.leave = leave;
        this.claim =
                ClaimRequest.of(
                        task.deployment().name(),
                        task.work().method(),
                        task.work().path(),
                        key,
                        task.work().body(),
                        flow.name(),
                        claims.expiryEpochMillis(task.requestClass().timeoutMillis()));
    }

    /** Claims the key and goes on with what the claim allows. */
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
                        context.pool());
    }

    private void refuse(RequestFailure failure) {
        flow.refuse(answer, failure, leave);
    }

    private void run() {
        RecordingAnswerWriter recorded =
                new RecordingAnswerWriter(
                        answer, claims, claim, context.timer(), context.pool(), leave);
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
                leave);
    }
}
