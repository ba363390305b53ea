package dev.foxtailshed.daemon.internal.sidecar;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Connection.Peer;
import java.net.InetSocketAddress;

/** Receives the events of a sidecar that matter to operators. Implementations are thread-safe. */
public interface SidecarEvents {

    /**
     * Called when the sidecar accepts connections.
     *
     * @param address the bound address
     */
    void started(InetSocketAddress address);

    /**
     * Called when an entry has connected.
     *
     * @param entry the entry
     */
    void entryConnected(Peer entry);

    /**
     * Called when a connection of an entry has closed.
     *
     * @param entry the entry
     * @param reason a short phrase
     */
    void entryDisconnected(Peer entry, String reason);

    /**
     * Called when an entry has sent a message that the protocol does not allow; its connection is
     * closed.
     *
     * @param entry the entry
     * @param reason a short phrase
     */
    void protocolViolated(Peer entry, String reason);

    /**
     * Called when the lease of an entry has expired and its work is released.
     *
     * @param entryIncarnation the incarnation of the entry
     */
    void leaseExpired(long entryIncarnation);

    /**
     * Called when a grant has expired without a commit.
     *
     * @param id the attempt
     */
    void grantExpired(AttemptId id);

    /**
     * Called when a committed attempt has failed.
     *
     * @param id the attempt
     * @param failure the cause, and whether the attempt may have run
     */
    void workFailed(AttemptId id, RequestFailure failure);

    /**
     * Called once for each attempt that was started, when it is over.
     *
     * @param id the attempt
     * @param kind call, prefill or decode
     * @param verdict whether it ran
     * @param code the error code, empty on success
     */
    default void workEnded(AttemptId id, String kind, Verdict verdict, String code) {}

    /**
     * Called when the engine holds a request that the ledger does not know; the request is
     * cancelled.
     *
     * @param requestId the engine's id of the request
     */
    void orphanReleased(String requestId);

    /**
     * Called when the backend server cannot list the requests that it holds; no work is accepted
     * until it can.
     *
     * @param reason a short phrase
     */
    void backendUnreachable(String reason);

    /**
     * Called when a manifest has taken effect.
     *
     * @param version its version
     * @param limits the limits of this backend server
     */
    void manifestApplied(long version, PoolLimits limits);

    /**
     * Called when a manifest from an entry cannot be used.
     *
     * @param version its version
     * @param reason a short phrase
     */
    void manifestRejected(long version, String reason);

    /** Called when draining begins and no new work is accepted. */
    void drainStarted();

    /** Called when all work has ended after {@link #drainStarted}. */
    void drainFinished();
}
