package dev.foxtailshed.bench.overhead;

import com.google.gson.JsonObject;
import dev.foxtailshed.harness.HttpCaller;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the latencies of token streams, through the entry or directly from the engines.
 *
 * <p>A direct stream sends the same requests as the router: the prompt to the prefill engine, then
 * the exported KV cache reference to the decode engine.
 */
final class StreamMeasurement {

    private static final long MAXIMUM_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String TOKEN = " w";
    private static final int HTTP_OK = 200;

    private final HttpCaller http;
    private final String model;
    private final int tokens;

    /** The latencies of several streams of one kind. Not thread-safe. */
    static final class Latencies {
        final Histogram firstTokenNanos = new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        final Histogram tokenGapNanos = new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        final Histogram remainingTokensNanos =
                new Histogram(MAXIMUM_LATENCY_NANOS, SIGNIFICANT_DIGITS);

        void add(Latencies other) {
            firstTokenNanos.add(other.firstTokenNanos);
            tokenGapNanos.add(other.tokenGapNanos);
            remainingTokensNanos.add(other.remainingTokensNanos);
        }
    }

    /** A way to open a stream: through the entry or directly. */
    interface Source {
        /** Sends the request and returns the server-sent events as they arrive. */
        InputStream open(String prompt) throws IOException;
    }

    StreamMeasurement(HttpCaller http, String model, int tokens) {
        this.http = http;
        this.model = model;
        this.tokens = tokens;
    }

    Source throughEntry(InetSocketAddress entry, String deployment) {
        return prompt -> {
            JsonObject body = body(deployment, prompt);
            body.addProperty("max_tokens", tokens);
            body.addProperty("stream", true);
            return open(entry, body);
        };
    }

    Source directToEngines(InetSocketAddress prefill, InetSocketAddress decode) {
        return prompt -> {
            JsonObject read = body(model, prompt);
            read.addProperty("max_tokens", 1);
            JsonObject remoteDecode = new JsonObject();
            remoteDecode.addProperty("do_remote_decode", true);
            read.add("kv_transfer_params", remoteDecode);
            HttpCaller.Response response =
                    http.call("POST", prefill, "/v1/completions", Map.of(), read.toString());
            if (response.status() != HTTP_OK) {
                throw new IOException("the prefill request failed: " + response);
            }
            JsonObject export = response.json().getAsJsonObject("kv_transfer_params");
            export.addProperty("do_remote_prefill", true);
            JsonObject write = body(model, prompt);
            write.addProperty("max_tokens", tokens);
            write.addProperty("stream", true);
            write.add("kv_transfer_params", export);
            return open(decode, write);
        };
    }

    /** Reads one stream to its end and returns its latencies. */
    Latencies read(Source source, String prompt) throws IOException {
        Latencies times = new Latencies();
        long startNanos = System.nanoTime();
        long firstTokenNanos = 0;
        long lastNanos = 0;
        int tokensSeen = 0;
        String lastLine = "";
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(source.open(prompt), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lastLine = line.isEmpty() ? lastLine : line;
                int tokensInLine = countTokens(line);
                if (tokensInLine == 0) {
                    continue;
                }
                long nowNanos = System.nanoTime();
                if (tokensSeen == 0) {
                    firstTokenNanos = nowNanos;
                    times.firstTokenNanos.recordValue(nowNanos - startNanos);
                } else {
                    times.tokenGapNanos.recordValue(nowNanos - lastNanos);
                }
                lastNanos = nowNanos;
                tokensSeen += tokensInLine;
            }
        }
        if (tokensSeen != tokens) {
            throw new IOException(
                    "expected "
                            + tokens
                            + " tokens, received "
                            + tokensSeen
                            + "; last line: "
                            + lastLine);
        }
        times.remainingTokensNanos.recordValue(lastNanos - firstTokenNanos);
        return times;
    }

    private InputStream open(InetSocketAddress address, JsonObject body) throws IOException {
        var response = http.open("POST", address, "/v1/completions", Map.of(), body.toString());
        if (response.statusCode() != HTTP_OK) {
            throw new IOException("expected status 200, received " + response.statusCode());
        }
        return response.body();
    }

    private static JsonObject body(String model, String prompt) {
        JsonObject body = new JsonObject();
        body.addProperty("model", model);
        body.addProperty("prompt", prompt);
        return body;
    }

    private static int countTokens(String line) {
        if (!line.startsWith("data:")) {
            return 0;
        }
        int count = 0;
        int at = line.indexOf(TOKEN);
        while (at >= 0) {
            count++;
            at = line.indexOf(TOKEN, at + TOKEN.length());
        }
        return count;
    }
}
