package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.wire.Message.Header;
import dev.foxtailshed.wire.Message.KvExport;
import java.util.List;

/**
 * Receives the answer and the end of one piece of work at the backend server.
 *
 * <p>Methods are called one at a time. The last call is {@link #onPrefilled}, {@link #onEnd} or
 * {@link #onFailure}; none of these is called for work that was cancelled through the driver.
 */
public interface BackendListener {

    /**
     * Called when the head of the answer to a call arrives.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     */
    void onHead(int status, List<Header> headers);

    /**
     * Called for each part of the answer. Nothing more is read until {@code next} is run.
     *
     * @param content the bytes
     * @param tokens the number of output tokens in this part, zero for calls
     * @param next requests the next part; may be run at once or later, on any thread
     */
    void onPart(byte[] content, int tokens, Runnable next);

    /**
     * Called when a prefill has finished.
     *
     * @param export the location of the KV cache
     * @param promptTokens the number of prompt tokens as counted by the engine
     * @param cachedTokens the number of prompt tokens found in the prefix cache
     */
    void onPrefilled(KvExport export, long promptTokens, long cachedTokens);

    /**
     * Called when the answer is complete.
     *
     * @param finishReason why the model stopped, empty for calls
     * @param promptTokens the number of prompt tokens as counted by the engine, zero for calls
     * @param cachedTokens the number of prompt tokens found in the prefix cache, zero for calls
     */
    void onEnd(String finishReason, long promptTokens, long cachedTokens);

    /**
     * Called when the work has failed and the backend server holds nothing more for it.
     *
     * @param failure the cause, and whether the work may have run
     */
    void onFailure(RequestFailure failure);
}
