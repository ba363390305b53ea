package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message.KvExport;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads the response to a prefill: one JSON document that names the export. */
final class PrefillResponseReader implements EngineResponseReader {

    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    private final BackendListener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    PrefillResponseReader(BackendListener listener) {
        this.listener = listener;
    }

    @Override
    public void onBytes(byte[] bytes, Runnable next) {
        if (body.size() + bytes.length > MAXIMUM_BODY_BYTES) {
            throw new IllegalStateException("the response to a prefill exceeds the maximum length");
        }
        body.writeBytes(bytes);
        next.run();
    }

    @Override
    public void onComplete() {
        EngineJson.Completion completion =
                EngineJson.parseCompletion(body.toString(StandardCharsets.UTF_8));
        Optional<KvExport> export = completion.export();
        if (export.isEmpty()) {
            onFailure(
                    RequestFailure.of(
                            Verdict.RAN,
                            ErrorCode.BACKEND_ERROR,
                            "the response to a prefill names no KV cache export"));
            return;
        }
        listener.onPrefilled(export.get(), completion.promptTokens(), completion.cachedTokens());
    }

    @Override
    public void onFailure(RequestFailure failure) {
        listener.onFailure(failure);
    }
}
