package dev.foxtailshed.wire;

/**
 * The traffic and error counters of all connections of one transport.
 *
 * <p>Thread-safe. Each counter only increases. Counters are read independently, so values read
 * together may differ by some frames.
 */
public interface WireCounters {

    /**
     * Returns the number of frames that violated the protocol, including frames over the size
     * limit.
     *
     * @return the count; each such frame closed its connection
     */
    long malformedFrames();

    /**
     * Returns the number of handshakes refused because of a wrong key, an unsupported version, an
     * invalid nonce, an unexpected message or a timeout.
     *
     * @return the count; each such handshake closed its connection
     */
    long refusedHandshakes();

    /**
     * Returns the number of frames received.
     *
     * @return the count, including handshake frames
     */
    long framesIn();

    /**
     * Returns the number of frames queued for sending.
     *
     * @return the count, including handshake frames
     */
    long framesOut();

    /**
     * Returns the number of bytes received.
     *
     * @return the count, including the length fields of frames
     */
    long bytesIn();

    /**
     * Returns the number of bytes written, that is, accepted by the operating system.
     *
     * @return the count, including the length fields of frames
     */
    long bytesOut();
}
