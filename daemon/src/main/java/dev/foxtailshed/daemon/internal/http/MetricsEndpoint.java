package dev.foxtailshed.daemon.internal.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.google.gson.JsonObject;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves all metrics as one JSON object at <code>/metrics</code>. Thread-safe. */
public final class MetricsEndpoint implements Endpoint {

    private static final String PATH = "/metrics";
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MetricRegistry registry;

    /**
     * Creates the endpoint.
     *
     * @param registry the metrics to serve
     */
    public MetricsEndpoint(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        ErrorBody.writeJson(response, toJson(), callback);
        return true;
    }

    private JsonObject toJson() {
        JsonObject counters = new JsonObject();
        registry.getCounters()
                .forEach((name, counter) -> counters.addProperty(name, counter.getCount()));
        JsonObject gauges = new JsonObject();
        registry.getGauges()
                .forEach((name, gauge) -> gauges.addProperty(name, (Number) gauge.getValue()));
        JsonObject timers = new JsonObject();
        registry.getTimers().forEach((name, timer) -> timers.add(name, toJson(timer)));
        JsonObject root = new JsonObject();
        root.add("counters", counters);
        root.add("gauges", gauges);
        root.add("timers", timers);
        return root;
    }

    private static JsonObject toJson(Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        JsonObject json = new JsonObject();
        json.addProperty("count", timer.getCount());
        json.addProperty("medianMillis", snapshot.getMedian() / NANOS_PER_MILLI);
        json.addProperty("p95Millis", snapshot.get95thPercentile() / NANOS_PER_MILLI);
        json.addProperty("p99Millis", snapshot.get99thPercentile() / NANOS_PER_MILLI);
        return json;
    }
}
