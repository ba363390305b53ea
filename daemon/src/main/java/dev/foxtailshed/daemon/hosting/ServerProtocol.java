package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;

/** Builds requests to backend servers and parses their responses. Thread-safe. */
public interface ServerProtocol {

    /**
     * Builds the headers of a forwarded request.
     *
     * <p>Headers that callers must not set are removed; those of this attempt are added.
     *
     * @param headers the caller's end-to-end headers
     * @param options the parameters of this attempt
     * @return the headers to send
     */
    HttpFields.Mutable buildRequestHeaders(HttpFields headers, AttemptOptions options);

    /**
     * Returns the headers that make any server but the given one reject a control call.
     *
     * @param serverId the id of the server that the call is meant for
     * @return the headers to send
     */
    HttpFields buildControlHeaders(String serverId);

    /**
     * Parses the head of a response.
     *
     * @param status the HTTP status
     * @param headers the response headers
     * @return the parsed head
     */
    ResponseHead parseHead(int status, HttpFields headers);

    /**
     * Builds the call that reserves decode capacity.
     *
     * @param tokens the tokens to reserve
     * @param ttlMillis the time in milliseconds after which an unused reservation expires
     * @return the call
     */
    ControlCall newReserveCall(long tokens, long ttlMillis);

    /**
     * Parses the response to {@link #newReserveCall}.
     *
     * @param body the body of a successful response
     * @return the reservation's id, or empty if the body is malformed
     */
    Optional<String> parseReservationId(byte[] body);

    /**
     * Builds the call that releases a reservation.
     *
     * @param reservation the reservation's id
     * @return the call
     */
    ControlCall newReleaseReservationCall(String reservation);

    /**
     * Parses the response of a prefill server.
     *
     * @param body the body of a successful response
     * @return the handle of the KV cache, or empty if the body is malformed
     */
    Optional<String> parseCacheHandle(byte[] body);

    /**
     * Builds the call that frees a KV cache which no server will fetch.
     *
     * @param handle the handle of the KV cache
     * @return the call
     */
    ControlCall newReleaseCacheCall(String handle);

    /**
     * Builds the call that queries the state of a model server.
     *
     * @return the call
     */
    ControlCall newReadStateCall();

    /**
     * Builds the health check of a plain server.
     *
     * @param path the path of the service's health checks
     * @return the call
     */
    ControlCall newHealthCheckCall(String path);

    /**
     * Parses the response to {@link #newReadStateCall}.
     *
     * @param body the body of a successful response
     * @return the state, or empty if the body is malformed
     */
    Optional<EngineState> parseState(byte[] body);

    /**
     * Builds the command that changes the stage of a model server.
     *
     * @param stage the new stage
     * @param holder the name of the entry that sends the command and holds the lease
     * @param fencingToken the fencing token of the entry's lease
     * @param expectedCommands the number of commands that the server must have accepted so far;
     *     with any other count it refuses the command
     * @return the call
     */
    ControlCall newChangeStageCall(
            Stage stage, String holder, long fencingToken, long expectedCommands);

    /**
     * A control call: a request of the entry itself, not a forwarded one.
     *
     * @param method the HTTP method
     * @param path the path without a query
     * @param body the JSON body, empty for calls without one
     */
    record ControlCall(HttpMethod method, String path, Optional<JsonObject> body) {}

    /**
     * The parameters of one attempt to run a request at one server.
     *
     * @param serverId the id of the only server that may run the attempt
     * @param remainingMillis the time until the caller's deadline
     * @param prefillOnly whether the server only prefills the prompt
     * @param reservation the id of the reservation that the attempt uses
     * @param cacheSource the location of the prompt's KV cache, as IP:PORT/HANDLE
     * @param resumeAfter the id of the last event that the caller has received; the stream
     *     continues after it
     * @param identity what the server learns of the caller; empty if the deployment has no
     *     workspaces
     */
    record AttemptOptions(
            String serverId,
            long remainingMillis,
            boolean prefillOnly,
            Optional<String> reservation,
            Optional<String> cacheSource,
            OptionalLong resumeAfter,
            Optional<CallerIdentity> identity) {}

    /**
     * What a server learns of the caller in place of the caller's key.
     *
     * @param workspace the name of the caller's workspace, empty for a caller without a valid key
     * @param urgency the rank of the request among all; 0 is the most urgent
     * @param urgent whether requests of other ranks are less urgent
     */
    record CallerIdentity(Optional<String> workspace, int urgency, boolean urgent) {}

    /**
     * The head of a response.
     *
     * @param notRun whether the server states that it did not run the request
     * @param promisesNotRun whether callers take the status as the promise that the request has not
     *     run
     * @param wrongServer whether a server other than the expected one responded
     * @param sealed whether the response carries the server's seal
     * @param attemptId the id of the request that the response belongs to
     * @param requestLimit the requests per second that the server takes from all entries together,
     *     as it wrote them
     * @param leaving whether the server states that it is leaving
     * @param serverId the id of the server that responded, if it names it
     */
    record ResponseHead(
            boolean notRun,
            boolean promisesNotRun,
            boolean wrongServer,
            boolean sealed,
            Optional<String> attemptId,
            Optional<String> requestLimit,
            boolean leaving,
            Optional<String> serverId) {

        /**
         * Returns whether a server states that it is leaving.
         *
         * @param expectedServerId the id of the server that the request was meant for
         * @return false if another server has responded, whatever that one states
         */
        public boolean saysLeaving(String expectedServerId) {
            return leaving
                    && !wrongServer
                    && serverId.filter(id -> !id.equals(expectedServerId)).isEmpty();
        }
    }

    /**
     * The state of a model server.
     *
     * @param stage the server's stage, empty if it has none
     * @param busy whether the server is carrying out a command
     * @param commandsAccepted the number of commands accepted since the server started
     * @param waiting the number of queued requests
     * @param running the number of running requests
     */
    record EngineState(
            Optional<Stage> stage, boolean busy, long commandsAccepted, int waiting, int running) {}
}
