package dev.foxtailshed.wire;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import java.util.List;
import java.util.Optional;

/**
 * A message between an entry and a sidecar; each implementation is one frame on the connection.
 *
 * <p>Many attempts share one connection: messages about work carry an {@link AttemptId}. The
 * accepting side opens with {@link Challenge}; nothing else is taken before {@link Hello} and
 * {@link Welcome} have proved that both sides hold the shared key.
 */
public sealed interface Message {

    /**
     * First message of the accepting side.
     *
     * @param nonce random bytes that {@link Hello} must answer
     */
    record Challenge(byte[] nonce) implements Message {}

    /**
     * First message of the connecting side.
     *
     * @param protocolVersion the version of this protocol
     * @param instanceId the name of the connecting instance
     * @param incarnation the random number that it drew when it started
     * @param proof signs side, name, incarnation and the challenge's nonce under the shared key
     * @param nonce random bytes that {@link Welcome} must answer
     */
    record Hello(
            int protocolVersion, String instanceId, long incarnation, byte[] proof, byte[] nonce)
            implements Message {}

    /**
     * Answer to {@link Hello}.
     *
     * @param serverName the backend server beside the sidecar
     * @param incarnation the random number that the sidecar drew when it started
     * @param proof signs side, name, incarnation and the hello's nonce under the shared key
     */
    record Welcome(String serverName, long incarnation, byte[] proof) implements Message {}

    /**
     * Keeps the lease of the sender alive and tells which manifest it applies.
     *
     * @param manifestVersion the version that the sender applies, zero for none
     */
    record Heartbeat(long manifestVersion) implements Message {}

    /**
     * The state of a sidecar, sent on change and on a slow beat.
     *
     * @param manifestVersion the version that the sidecar applies, zero for none
     * @param draining whether it refuses new work
     * @param freeSlots request slots neither granted nor running
     * @param freePieces KV pieces neither granted nor held
     * @param queuedTokens prompt tokens committed and not read yet
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
     * Asks the other side for a manifest newer than the given version.
     *
     * @param newerThanVersion the version that the asking side has
     */
    record ManifestRequest(long newerThanVersion) implements Message {}

    /**
     * Hands over a manifest.
     *
     * @param version its version
     * @param document the manifest as JSON in UTF-8
     */
    record ManifestDocument(long version, byte[] document) implements Message {}

    /**
     * Asks the other side for a list of instances newer than the one of the given time.
     *
     * @param newerThanEpochMillis when the list of the asking side came from the platform
     */
    record InstanceListingRequest(long newerThanEpochMillis) implements Message {}

    /**
     * Hands over the platform's list of instances.
     *
     * @param asOfEpochMillis when an entry first read it so from the platform
     * @param document the list as JSON in UTF-8, in the platform's form
     */
    record InstanceListingDocument(long asOfEpochMillis, byte[] document) implements Message {}

    /**
     * Asks for a place. Nothing runs before {@link Commit}.
     *
     * @param attemptId the attempt
     * @param kind the kind of work
     * @param deployment the deployment that the request names
     * @param manifestVersion the version that the entry applies
     * @param pieces KV pieces that the work needs, zero for calls
     * @param promptTokens estimated prompt tokens, zero for calls
     * @param priority zero is served first
     * @param neededInMillis when the place will be used, from now
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
     * Grants a place until it lapses on the sidecar's clock.
     *
     * @param attemptId the attempt
     * @param lapseMillis how long the grant stands
     */
    record Grant(AttemptId attemptId, long lapseMillis) implements Message {}

    /**
     * Refuses an offer or a commit; the attempt has not run and never will.
     *
     * @param attemptId the attempt
     * @param reason a code of {@link dev.foxtailshed.kernel.ErrorCode}
     * @param text one sentence for people
     * @param retryAfterMillis when a place may be free, zero if unknown
     */
    record Refuse(AttemptId attemptId, String reason, String text, long retryAfterMillis)
            implements Message {}

    /**
     * Orders the granted work to run.
     *
     * @param attemptId the attempt
     * @param work what to run
     */
    record Commit(AttemptId attemptId, Work work) implements Message {}

    /**
     * Offer and commit in one message, for idempotent calls.
     *
     * @param offer the offer
     * @param work what to run if the offer is granted
     */
    record Dispatch(Offer offer, Work work) implements Message {}

    /**
     * Ends an attempt, whatever its state: withdraws a grant, cancels a run, releases an export.
     *
     * @param attemptId the attempt
     */
    record Cancel(AttemptId attemptId) implements Message {}

    /**
     * Start of an answer to a call.
     *
     * @param attemptId the attempt
     * @param status the HTTP status of the backend server
     * @param headers the headers to hand on
     */
    record AnswerHead(AttemptId attemptId, int status, List<Header> headers) implements Message {}

    /**
     * A part of an answer.
     *
     * @param attemptId the attempt
     * @param position the number of the part, from zero
     * @param tokens the output tokens in this part, zero for calls
     * @param content the bytes, for models the text in UTF-8
     */
    record AnswerPart(AttemptId attemptId, long position, int tokens, byte[] content)
            implements Message {}

    /**
     * End of a whole answer.
     *
     * @param attemptId the attempt
     * @param parts how many parts the answer has
     * @param finishReason why the model stopped, empty for calls
     * @param cachedTokens prompt tokens that the engine found in its prefix cache
     * @param promptTokens prompt tokens by the engine's count
     */
    record AnswerEnd(
            AttemptId attemptId,
            long parts,
            String finishReason,
            long cachedTokens,
            long promptTokens)
            implements Message {}

    /**
     * A prompt was read and its KV cache is exported.
     *
     * @param attemptId the attempt
     * @param export where the decode engine finds it
     * @param promptTokens prompt tokens by the engine's count
     * @param cachedTokens prompt tokens found in the prefix cache
     */
    record Prefilled(AttemptId attemptId, KvExport export, long promptTokens, long cachedTokens)
            implements Message {}

    /**
     * A committed attempt failed.
     *
     * @param attemptId the attempt
     * @param verdict whether it may have run
     * @param code a code of {@link dev.foxtailshed.kernel.ErrorCode}
     * @param text one sentence for people
     */
    record Failed(AttemptId attemptId, Verdict verdict, String code, String text)
            implements Message {}

    /**
     * Asks for the outcome of an attempt after a cut or silence. An attempt that was not committed
     * is refused from then on.
     *
     * @param attemptId the attempt
     * @param sidecarIncarnation the incarnation that the commit went to
     */
    record OutcomeQuery(AttemptId attemptId, long sidecarIncarnation) implements Message {}

    /**
     * Answer to {@link OutcomeQuery}.
     *
     * @param attemptId the attempt
     * @param verdict what is proved about the attempt
     * @param answer the stored answer, for a call that ran and whose answer is kept
     */
    record Outcome(AttemptId attemptId, Verdict verdict, Optional<StoredAnswer> answer)
            implements Message {}

    /**
     * A header of a call or an answer.
     *
     * @param name the name
     * @param value the value
     */
    record Header(String name, String value) {}

    /**
     * The whole answer to a call.
     *
     * @param status the HTTP status
     * @param headers the headers to hand on
     * @param body the body
     */
    record StoredAnswer(int status, List<Header> headers, byte[] body) {}

    /**
     * Where a decode engine finds an exported KV cache.
     *
     * @param handle the engine's name for it
     * @param sourceUrl the address of the prefill engine
     * @param sizeBytes the size of the transfer
     */
    record KvExport(String handle, String sourceUrl, long sizeBytes) {}

    /** What a commit runs. */
    sealed interface Work {}

    /**
     * A call to a plain service.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param headers the headers to hand on
     * @param body the body
     * @param timeoutMillis how long the call may take
     */
    record CallWork(
            String method, String path, List<Header> headers, byte[] body, long timeoutMillis)
            implements Work {}

    /**
     * A prompt to read.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @param priority the engine's priority, zero first
     * @param timeoutMillis how long it may take
     */
    record PrefillWork(String model, String prompt, int priority, long timeoutMillis)
            implements Work {}

    /**
     * An answer to write.
     *
     * @param model the model's name
     * @param prompt the prompt
     * @param generated what an earlier attempt has written already, to go on from
     * @param generatedTokens how many tokens that is
     * @param maxTokens the limit on output tokens, those of earlier attempts included
     * @param priority the engine's priority, zero first
     * @param timeoutMillis how long it may take
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
