package dev.foxtailshed.bench.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.harness.Completion;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends one planned request and classifies its response. Not thread-safe. */
final class LoadCaller {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long TIMEOUT_SECONDS = 75;
    private static final String SERVICE_DELAY_MILLIS = "50";
    private static final String DATA = "data: ";

    private final PlannedRequest planned;
    private final long dueNanos;
    private final Consumer<Outcome> done;
    private final StringBuilder pending = new StringBuilder();
    private final StringBuilder text = new StringBuilder();
    private boolean doneReceived;
    private boolean errorReceived;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private long uncachedPromptTokens;

    LoadCaller(PlannedRequest planned, long dueNanos, Consumer<Outcome> done) {
        this.planned = planned;
        this.dueNanos = dueNanos;
        this.done = done;
    }

    void send(HttpClient client, InetSocketAddress entry, String callPrefix) {
        String base = "http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort();
        Request request =
                planned.completion()
                        .map(completion -> completionRequest(client, base, completion))
                        .orElseGet(() -> callRequest(client, base, callPrefix));
        request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .onResponseContent((response, content) -> onContent(content))
                .send(this::complete);
    }

    private static Request completionRequest(
            HttpClient client, String base, Completion completion) {
        return client.newRequest(base + "/v1/completions")
                .method("POST")
                .body(new StringRequestContent("application/json", completion.body(true)));
    }

    private Request callRequest(HttpClient client, String base, String callPrefix) {
        boolean order = planned.kind() == RequestKind.ORDER;
        String path = order ? "/wire-orders/" : "/stock/";
        String id = callPrefix + planned.number();
        Request request =
                client.newRequest(base + "/apps/orders" + path + id)
                        .method(order ? "POST" : "GET")
                        .headers(
                                headers ->
                                        headers.put("X-Call-Id", id)
                                                .put(
                                                        "X-Stand-In-Delay-Millis",
                                                        SERVICE_DELAY_MILLIS));
        return order ? request.body(new StringRequestContent("application/json", "{}")) : request;
    }

    private void onContent(ByteBuffer content) {
        long nowNanos = System.nanoTime();
        pending.append(StandardCharsets.UTF_8.decode(content));
        if (planned.completion().isEmpty()) {
            return;
        }
        int start = 0;
        int end = pending.indexOf("\n", start);
        while (end >= 0) {
            parseLine(pending.substring(start, end), nowNanos);
            start = end + 1;
            end = pending.indexOf("\n", start);
        }
        pending.delete(0, start);
    }

    private void parseLine(String line, long nowNanos) {
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length()).strip();
        if (data.equals("[DONE]")) {
            doneReceived = true;
            return;
        }
        JsonObject event = JsonParser.parseString(data).getAsJsonObject();
        errorReceived |= event.has("error");
        if (event.has("usage")) {
            uncachedPromptTokens = uncachedPromptTokens(event.getAsJsonObject("usage"));
        }
        JsonArray choices = event.getAsJsonArray("choices");
        String part =
                choices == null || choices.isEmpty()
                        ? ""
                        : choices.get(0).getAsJsonObject().get("text").getAsString();
        if (!part.isEmpty()) {
            firstTokenNanos = firstTokenNanos == 0 ? nowNanos : firstTokenNanos;
            lastTokenNanos = nowNanos;
            text.append(part);
        }
    }

    private static long uncachedPromptTokens(JsonObject usage) {
        long cached =
                usage.getAsJsonObject("prompt_tokens_details").get("cached_tokens").getAsLong();
        return usage.get("prompt_tokens").getAsLong() - cached;
    }

    private void complete(Result result) {
        long endNanos = System.nanoTime();
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        if (result.isFailed()) {
            finish(Outcome.End.FAILED, "connection", endNanos);
        } else if (status != 200) {
            boolean notRun =
                    "not-run"
                            .equals(result.getResponse().getHeaders().get("X-Foxtailshed-Verdict"));
            finish(notRun ? Outcome.End.NOT_RUN : Outcome.End.FAILED, errorCode(), endNanos);
        } else if (planned.completion().isEmpty()) {
            finish(Outcome.End.WHOLE, "", endNanos);
        } else if (!doneReceived || errorReceived) {
            finish(Outcome.End.FAILED, "incomplete", endNanos);
        } else {
            boolean matches = text.toString().equals(planned.completion().get().expectedText());
            finish(
                    matches ? Outcome.End.WHOLE : Outcome.End.WRONG,
                    matches ? "" : "wrong",
                    endNanos);
        }
    }

    private String errorCode() {
        try {
            return JsonParser.parseString(pending.toString())
                    .getAsJsonObject()
                    .getAsJsonObject("error")
                    .get("code")
                    .getAsString();
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            return "no-code";
        }
    }

    private void finish(Outcome.End end, String code, long endNanos) {
        boolean call = planned.completion().isEmpty();
        long first = call ? endNanos : firstTokenNanos;
        int gapCount = Math.max(1, planned.outputTokens() - 1);
        done.accept(
                new Outcome(
                        planned,
                        end,
                        code,
                        (first - dueNanos) / NANOS_PER_MILLI,
                        call ? 0 : (lastTokenNanos - firstTokenNanos) / NANOS_PER_MILLI / gapCount,
                        (endNanos - dueNanos) / NANOS_PER_MILLI,
                        end == Outcome.End.WHOLE ? uncachedPromptTokens : 0));
    }
}
