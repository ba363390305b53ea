package dev.foxtailshed.daemon.internal.claims;

/**
 * Receives events about claims at the object API. Implementations are thread-safe and do not block.
 */
public interface ClaimEvents {

    /**
     * Called before an update is sent.
     *
     * @param changeCount the number of changes in the update
     */
    void writing(int changeCount);

    /** Called when an update was rejected because the shard had changed meanwhile. */
    void conflict();

    /**
     * Called when a call to the object API has failed; the call will be retried.
     *
     * @param objectName the name of the shard's object
     * @param cause a short phrase
     * @param first whether this is the first failure after a success
     */
    void failed(String objectName, String cause, boolean first);

    /**
     * Called when the content of a shard cannot be decoded.
     *
     * @param objectName the name of the shard's object
     * @param cause a short phrase
     */
    void unreadable(String objectName, String cause);

    /** Called when a key was not claimed in time. */
    void abandoned();
}
