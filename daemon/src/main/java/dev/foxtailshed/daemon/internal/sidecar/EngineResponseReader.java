package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.RequestFailure;

/** Reads the body of one successful answer of an engine. */
interface EngineResponseReader {

    /**
     * Takes bytes of the body.
     *
     * @param bytes the bytes
     * @param next asks for more
     */
    void onBytes(byte[] bytes, Runnable next);

    /** The body ended without a transport failure; it may still be incomplete. */
    void onComplete();

    /**
     * The completion failed.
     *
     * @param failure verdict and code
     */
    void onFailure(RequestFailure failure);
}
