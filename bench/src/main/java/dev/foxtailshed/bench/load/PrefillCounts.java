package dev.foxtailshed.bench.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Numbers of prompt tokens as counted by the engines and by the entries.
 *
 * @param engineTokens tokens that the prefill engines have processed
 * @param routerReadTokens tokens that the entries count as read
 * @param routerWastedTokens tokens that the entries count as wasted
 */
record PrefillCounts(long engineTokens, long routerReadTokens, long routerWastedTokens) {

    private static final List<String> PREFILL_SERVERS = List.of("p1", "p2", "p3");

    static PrefillCounts read(Installation site, int entries) throws IOException {
        long engineTokens = 0;
        for (String server : PREFILL_SERVERS) {
            JsonObject counts = site.readBackendState(server, "/control/counts");
            engineTokens += counts.get("prefilledTokens").getAsLong();
        }
        long readTokens = 0;
        long wastedTokens = 0;
        for (int i = 0; i < entries; i++) {
            JsonObject counters =
                    site.call(i, "GET", "/metrics", Map.of(), "")
                            .json()
                            .getAsJsonObject("counters");
            readTokens += sum(counters, "prefillTokens.read.");
            wastedTokens += sum(counters, "prefillTokens.wasted.");
        }
        return new PrefillCounts(engineTokens, readTokens, wastedTokens);
    }

    PrefillCounts since(PrefillCounts earlier) {
        return new PrefillCounts(
                engineTokens - earlier.engineTokens,
                routerReadTokens - earlier.routerReadTokens,
                routerWastedTokens - earlier.routerWastedTokens);
    }

    private static long sum(JsonObject counters, String prefix) {
        long sum = 0;
        for (Map.Entry<String, JsonElement> counter : counters.entrySet()) {
            sum += counter.getKey().startsWith(prefix) ? counter.getValue().getAsLong() : 0;
        }
        return sum;
    }
}
