package dev.foxtailshed.integration;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** An installation with the order services only, and a sender of non-idempotent calls to them. */
final class OrderSite implements AutoCloseable {

    static final List<String> SERVERS = List.of("s1", "s2");
    static final long LEASE_MILLIS = 1_200;
    static final String PATH = "/apps/orders/wire-orders";

    private static final Set<String> MODEL_ELEMENTS =
            Set.of("prefill", "decode", "p1", "d1", "d2", "summaries", "drafts");

    private final Installation site;
    private final Executor executor = Executors.newCachedThreadPool(OrderSite::daemonThread);

    /**
     * The outcome of a call as its caller saw it.
     *
     * @param callId the value of the header X-Call-Id
     * @param response the response, empty if the connection to the entry broke
     */
    record CallResult(String callId, Optional<Response> response) {
        int status() {
            return response.map(Response::status).orElse(0);
        }

        String verdict() {
            return response.map(Response::verdict).orElse("");
        }

        String errorCode() {
            return response.map(Response::errorCode).orElse("");
        }
    }

    /**
     * A delay of the service within one call.
     *
     * @param at "before" or "after" the service counts the run
     */
    record ServiceDelay(String at, long delayMillis) {
        static final ServiceDelay NONE = new ServiceDelay("after", 0);
    }

    OrderSite(long timeoutMillis) throws IOException {
        JsonObject manifest = Manifests.small();
        for (String array : List.of("pools", "servers", "deployments")) {
            JsonArray kept = new JsonArray();
            manifest.getAsJsonArray(array).asList().stream()
                    .filter(
                            e ->
                                    !MODEL_ELEMENTS.contains(
                                            e.getAsJsonObject().get("name").getAsString()))
                    .forEach(kept::add);
            manifest.add(array, kept);
        }
        Manifests.set(manifest, "classes", "order", "timeoutMillis", timeoutMillis);
        String[] lease = {
            "--lease-millis", Long.toString(LEASE_MILLIS), "--heartbeat-millis", "200"
        };
        site =
                Installation.builder()
                        .manifest(manifest.toString())
                        .entries(2)
                        .entryArguments(lease)
                        .sidecarArguments(lease)
                        .start();
    }

    Installation site() {
        return site;
    }

    CompletableFuture<CallResult> sendOrder(
            int entry, String callId, Optional<String> key, ServiceDelay delay) {
        return sendOrder(entry, callId, key, delay, PATH, "{\"order\":1}");
    }

    CompletableFuture<CallResult> sendOrder(
            int entry,
            String callId,
            Optional<String> key,
            ServiceDelay delay,
            String path,
            String body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Call-Id", callId);
        key.ifPresent(value -> headers.put("Idempotency-Key", value));
        if (delay.delayMillis() > 0) {
            headers.put("X-Stand-In-Delay-Millis", Long.toString(delay.delayMillis()));
            headers.put("X-Stand-In-Delay-At", delay.at());
        }
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        Response response = site.call(entry, "POST", path, headers, body);
                        return new CallResult(callId, Optional.of(response));
                    } catch (IOException e) {
                        return new CallResult(callId, Optional.empty());
                    }
                },
                executor);
    }

    /** Runs a task after a delay, so that a fault occurs while calls are in flight. */
    CompletableFuture<Void> runAfter(long delayMillis, Runnable task) {
        return CompletableFuture.runAsync(
                task,
                CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS, executor));
    }

    void setProxyFaults(String faults) {
        SERVERS.forEach(server -> site.setProxyFaults(server, faults));
    }

    void awaitServing(int... entries) {
        for (int entry : entries) {
            site.awaitServing(entry);
        }
    }

    @Override
    public void close() {
        site.close();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "order-caller");
        thread.setDaemon(true);
        return thread;
    }
}
