package dev.foxtailshed.wire;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import java.util.List;
import java.util.Optional;

/**
 * A message between an entry and a sidecar, sent as one frame.
 *
 * <p>Many attempts share one connection, so messages about work carry an {@link AttemptId}. A
 * connection starts with the handshake: the accepting side sends {@link Challenge}, the connecting
 * side {@link Hello}, and the accepting side {@link Welcome}. Other messages are refused until the
 * handshake has proved that both sides hold the shared key.
 *
 * <p>Frames carry the components of a record in their declared order.
 */
public sealed interface Message {

    /**
     * The first message of the accepting side.
     *
     * @param nonce random bytes that the proof in {@link Hello} must sign
     */
    record Challenge(byte[] nonce) implements Message {}

    /**
     * The first message of the connecting side, which replies to {@link Challenge}.
     *
     * @param protocolVersion the protocol version of the connecting side
     * @param instanceId the name of the connecting instance
     * @param incarnation the random number that the connecting process chose at startup
     * @param proof the signature of side, name, incarnation and the nonce of the challenge under
     *     the shared key
     * @param nonce random bytes that the proof in {@link Welcome} must sign
     */
    record Hello(
            int protocolVersion, String instanceId, long incarnation, byte[] proof, byte[] nonce)
            implements Message {}

    /**
     * The reply to {@link Hello}, which completes the handshake.
     *
     * @param serverName the backend server of the sidecar
     * @param incarnation the random number that the sidecar chose at startup
     * @param proof the signature of side, name, incarnation and the nonce of the hello under the
     *     shared key
     */
    record Welcome(String serverName, long incarnation, byte[] proof) implements Message {}

    /**
     * Renews the lease of the sender and reports the manifest that it applies.
     *
     * @param manifestVersion the version of the manifest that the sender applies, 0 if none
     */
    record Heartbeat(long manifestVersion) implements Message {}

    /**
     * The load of a sidecar, sent on each change and periodically.
     *
     * @param manifestVersion the version of the manifest that the sidecar applies, 0 if none
     * @param draining whether the sidecar refuses new work
     * @param freeSlots request slots neither granted nor in use
     * @param freePieces KV pieces neither granted nor in use
     * @param queuedTokens prompt tokens of committed work that prefill has not processed yet
     * @param linkBacklogBytes bytes waiting for the transfer link
     */
    record LoadReport(
            long manifestVersion,
            boolean draining,
            int freeSlots,
            int freePieces,
            long queuedTokens,
            long linkBacklogBytes)
            implements Message {}

    /**
     * Requests a manifest newer than the given version.
     *
     * @param newerThanVersion the version that the requesting side has
     */
    record ManifestRequest(long newerThanVersion) implements Message {}

    /**
     * A manifest, sent in reply to {@link ManifestRequest}.
     *
     * @param version the version of the manifest
     * @param document the manifest as JSON in UTF-8
     */
    record ManifestDocument(long version, byte[] document) implements Message {}

    /**
     * Requests an instance list newer than the given time.
     *
     * @param newerThanEpochMillis the time of the list that the requesting side has
     */
    record InstanceListingRequest(long newerThanEpochMillis) implements Message {}

    /**
     * The platform's list of instances, sent in reply to {@link InstanceListingRequest}.
     *
     * @param asOfEpochMillis when an entry first read this state of the list from the platform
     * @param document the list as JSON in UTF-8, in the platform's format
     */
    record InstanceListingDocument(long asOfEpochMillis, byte[] document) implements Message {}

    /**
     * Requests a reservation for an attempt; nothing runs before {@link Commit}.
     *
     * @param attemptId the attempt
     * @param kind the kind of work
     * @param deployment the deployment that the request names
     * @param manifestVersion the version of the manifest that the entry applies
     * @param pieces KV pieces that the work needs, 0 for calls
     * @param promptTokens estimated prompt tokens, 0 for calls
     * @param priority the priority; 0 is served first
     * @param neededInMillis the time from now until the reservation will be used
     */
    record Offer(
            AttemptId attemptId,
            WorkKind kind,
            String deployment,
            long manifestVersion,
            int pieces,
            long promptTokens,
            int priority,
            long neededInMillis)
            implements Message {}

    /**
     * Grants the reservation of an {@link Offer} until it expires by the clock of the sidecar.
     *
     * @param attemptId the attempt
     * @param lapseMillis the time until the grant expires
     */
    record Grant(AttemptId attemptId, long lapseMillis) implements Message {}

    /**
     * Refuses an offer or a commit; the attempt has not run and never will.
     *
     * @param attemptId the attempt
     * @param reason a code of {@link dev.foxtailshed.kernel.ErrorCode}
     * @param text a human-readable description of the reason
     * @param retryAfterMillis the time after which capacity may be available, 0 if unknown
     */
    record Refuse(AttemptId attemptId, String reason, String text, long retryAfterMillis)
            implements Message {}

    /**
     * Starts the work of a granted attempt.
     *
     * @param attemptId the attempt
     * @param work the work to run
     */
    record Commit(AttemptId attemptId, Work work) implements Message {}

    /**
     * An offer and its commit in one message, for idempotent calls.
     *
     * @param offer the offer
     * @param work the work to run if the offer is granted
     */
    record Dispatch(Offer offer, Work work) implements Message {}

    /**
     * Ends an attempt in any state: withdraws a grant, cancels a run or releases an export.
     *
     * @param attemptId the attempt
     */
    record Cancel(AttemptId attemptId) implements Message {}

    /**
     * The start of the answer to a call.
     *
     * @param attemptId the attempt
     * @param status the HTTP status from the backend server
     * @param headers the headers to forward to the caller
     */
    record AnswerHead(AttemptId attemptId, int status, List<Header> headers) implements Message {}

    /**
     * A part of an answer.
     *
     * @param attemptId the attempt
     * @param position the index of the part, starting at 0
     * @param tokens the number of output tokens in this part, 0 for calls
     * @param content the content of the part; for models, text in UTF-8
     */
    record AnswerPart(AttemptId attemptId, long position, int tokens, byte[] content)
            implements Message {}

    /**
     * The end of a complete answer.
     *
     * @param attemptId the attempt
     * @param parts the number of parts of the answer
     * @param finishReason why the model stopped, empty for calls
     * @param cachedTokens prompt tokens that the engine found in its prefix cache
     * @param promptTokens prompt tokens as counted by the engine
     */
    record AnswerEnd(
            AttemptId attemptId,
            long parts,
            String finishReason,
            long cachedTokens,
            long promptTokens)
            implements Message {}

    /**
     * Reports that prefill is complete and the KV cache is exported.
     *
     * @param attemptId the attempt
     * @param export where the decode engine can fetch the KV cache
     * @param promptTokens prompt tokens as counted by the engine
     * @param cachedTokens prompt tokens that the engine found in its prefix cache
     */
    record Prefilled(AttemptId attemptId, KvExport export, long promptTokens, long cachedTokens)
            implements Message {}

    /**
     * Reports that a committed attempt failed.
     *
     * @param attemptId the attempt
     * @param verdict whether the attempt may have run
     * @param code a code of {@link dev.foxtailshed.kernel.ErrorCode}
     * @param text a human-readable description of the failure
     */
    record Failed(AttemptId attemptId, Verdict verdict, String code, String text)
            implements Message {}

    /**
     * Requests the outcome of an attempt after the connection was lost or the sidecar did not
     * respond.
     *
     * <p>The sidecar refuses any later commit of an attempt that was not committed when it received
     * this query.
     *
     * @param attemptId the attempt
     * @param sidecarIncarnation the incarnation of the sidecar to which the commit was sent
     */
    record OutcomeQuery(AttemptId attemptId, long sidecarIncarnation) implements Message {}

    /**
     * The reply to {@link OutcomeQuery}.
     *
     * @param attemptId the attempt
     * @param verdict whether the attempt ran, as far as the sidecar can prove it
     * @param answer the stored answer, present for a call that ran and whose answer is still stored
     */
    record Outcome(AttemptId attemptId, Verdict verdict, Optional<StoredAnswer> answer)
            implements Message {}

    /** An HTTP header of a call or an answer. */
    record Header(String name, String value) {}

    /**
     * The complete answer to a call.
     *
     * @param status the HTTP status
     * @param headers the headers to forward to the caller
     * @param body the response body
     */
    record StoredAnswer(int status, List<Header> headers, byte[] body) {}

    /**
     * The location of an exported KV cache, from which a decode engine imports it.
     *
     * @param handle the identifier of the export at the prefill engine
     * @param sourceUrl the address of the prefill engine
     * @param sizeBytes the number of bytes to transfer
     */
    record KvExport(String handle, String sourceUrl, long sizeBytes) {}

    /** The work that a commit starts. */
    sealed interface Work {}

    /**
     * A call to a plain HTTP service.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the headers to forward to the service
     * @param body the request body
     * @param timeoutMillis the timeout of the call
     */
    record CallWork(
            String method, String path, List<Header> headers, byte[] body, long timeoutMillis)
            implements Work {}

    /**
     * A prompt whose KV cache is to be computed and exported.
     *
     * @param model the name of the model
     * @param prompt the text of the prompt
     * @param priority the priority at the engine; 0 is served first
     * @param timeoutMillis the timeout of the work
     */
    record PrefillWork(String model, String prompt, int priority, long timeoutMillis)
            implements Work {}

    /**
     * An answer to generate from an exported KV cache.
     *
     * @param model the name of the model
     * @param prompt the text of the prompt
     * @param generated the output of earlier attempts, which this attempt continues
     * @param generatedTokens the number of tokens in {@code generated}
     * @param maxTokens the limit on output tokens, including those of earlier attempts
     * @param priority the priority at the engine; 0 is served first
     * @param timeoutMillis the timeout of the work
     * @param export the KV cache to import
     */
    record DecodeWork(
            String model,
            String prompt,
            String generated,
            int generatedTokens,
            int maxTokens,
            int priority,
            long timeoutMillis,
            KvExport export)
            implements Work {}
}
