package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.RequestFailure;

/** Reads the body of a successful response of an engine. */
interface EngineResponseReader {

    /**
     * Processes a chunk of the body.
     *
     * @param bytes the chunk
     * @param next requests the next chunk
     */
    void onBytes(byte[] bytes, Runnable next);

    /** Called when the body has ended without a transport failure; it may still be incomplete. */
    void onComplete();

    /**
     * Called when the completion has failed.
     *
     * @param failure the verdict and the error code
     */
    void onFailure(RequestFailure failure);
}
