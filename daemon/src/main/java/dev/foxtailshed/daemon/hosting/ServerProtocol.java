package dev.foxtailshed.daemon.hosting;

import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;

/** Writes requests to backend servers and reads their answers. Thread-safe. */
public interface ServerProtocol {

    /**
     * Sets the headers of a forwarded request.
     *
     * <p>Removes whatever only the product may set, then sets what the terms say.
     *
     * @param headers the caller's end-to-end headers
     * @param terms the terms of this attempt
     * @return the headers to send
     */
    HttpFields.Mutable requestHeaders(HttpFields headers, AttemptOptions terms);

    /**
     * Returns headers that tie a control call to one server.
     *
     * @param serverId the identity of the server that must answer
     * @return the headers to send
     */
    HttpFields controlHeaders(String serverId);

    /**
     * Reads the head of an answer.
     *
     * @param status its status
     * @param headers its headers
     * @return what they say
     */
    AnswerHead readHead(int status, HttpFields headers);

    /**
     * Builds the call that reserves decode capacity.
     *
     * @param tokens the tokens to reserve
     * @param ttlMillis how long the reservation waits for its request
     * @return the call
     */
    ControlCall reserve(long tokens, long ttlMillis);

    /**
     * Reads the answer to {@link #reserve}.
     *
     * @param body the body of a successful answer
     * @return the reservation's id, or nothing if the body cannot be read
     */
    Optional<String> reservation(byte[] body);

    /**
     * Builds the call that gives a reservation back.
     *
     * @param reservation the reservation's id
     * @return the call
     */
    ControlCall releaseReservation(String reservation);

    /**
     * Reads the answer of a prefill server.
     *
     * @param body the body of a successful answer
     * @return the handle of the KV cache, or nothing if the body cannot be read
     */
    Optional<String> cacheHandle(byte[] body);

    /**
     * Builds the call that frees a KV cache that no server will fetch.
     *
     * @param handle the cache's handle
     * @return the call
     */
    ControlCall releaseCache(String handle);

    /**
     * Builds the call that reads a model server's state.
     *
     * @return the call
     */
    ControlCall readState();

    /**
     * Reads the answer to {@link #readState}.
     *
     * @param body the body of a successful answer
     * @return the state, or nothing if the body cannot be read
     */
    Optional<EngineState> state(byte[] body);

    /**
     * Builds the order that changes a model server's stage.
     *
     * @param stage the new stage
     * @param holder the entry that gives the order
     * @param fencingToken the number of the entry's lease
     * @param expectedOrders how many orders the server must have accepted before
     * @return the call
     */
    ControlCall changeStage(Stage stage, String holder, long fencingToken, long expectedOrders);

    /**
     * A call that is no forwarded request.
     *
     * @param method its method
     * @param path its path
     * @param body its body, if it has one
     */
    record ControlCall(HttpMethod method, String path, Optional<JsonObject> body) {}

    /**
     * The terms of one attempt at one server.
     *
     * @param serverId the identity of the server that may run it
     * @param remainingMillis how long the caller still waits
     * @param prefillOnly whether only the prompt is to be read
     * @param reservation the reservation that the request uses
     * @param cacheSource where the prompt's KV cache is fetched from, as IP:PORT/HANDLE
     * @param resumeAfter the id of the last event that the caller has
     */
    record AttemptOptions(
            String serverId,
            long remainingMillis,
            boolean prefillOnly,
            Optional<String> reservation,
            Optional<String> cacheSource,
            OptionalLong resumeAfter) {}

    /**
     * The head of an answer.
     *
     * @param notRun whether the server says that it did not run the request
     * @param wrongServer whether another server answered
     * @param sealed whether the answer bears the server's seal
     * @param attemptId the id of the request that it answers
     */
    record AnswerHead(
            boolean notRun, boolean wrongServer, boolean sealed, Optional<String> attemptId) {}

    /**
     * The state of a model server.
     *
     * @param stage its stage
     * @param busy whether an order is being carried out
     * @param ordersAccepted how many orders it has accepted since its start
     * @param waiting requests that wait there
     * @param running requests that run there
     */
    record EngineState(
            Optional<Stage> stage, boolean busy, long ordersAccepted, int waiting, int running) {}
}
