package dev.foxtailshed.daemon.internal.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves counters, gauges and latency quantiles in the Prometheus text format.
 *
 * <p>Times are in seconds, as is usual in this format. Thread-safe.
 */
public final class MetricsTextEndpoint implements Endpoint {

    private static final String PATH = "/metrics/text";
    private static final String PREFIX = "foxtailshed_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final MetricRegistry registry;

    /**
     * Creates the endpoint.
     *
     * @param registry the metrics to serve
     */
    public MetricsTextEndpoint(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
        byte[] bytes = toText().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
        return true;
    }

    private String toText() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach(
                        (name, counter) ->
                                appendSample(
                                        text,
                                        "counter",
                                        metricName(name) + "_total",
                                        counter.getCount()));
        registry.getGauges()
                .forEach(
                        (name, gauge) ->
                                appendSample(text, "gauge", metricName(name), gauge.getValue()));
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            appendSummary(text, metricName(entry.getKey()) + "_seconds", entry.getValue());
        }
        return text.toString();
    }

    private static void appendSample(StringBuilder text, String type, String name, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void appendSummary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        appendQuantile(text, name, "0.5", snapshot.getMedian());
        appendQuantile(text, name, "0.95", snapshot.get95thPercentile());
        appendQuantile(text, name, "0.99", snapshot.get99thPercentile());
        text.append(name).append("_count ").append(timer.getCount()).append('\n');
    }

    private static void appendQuantile(
            StringBuilder text, String name, String quantile, double nanos) {
        text.append(name)
                .append("{quantile=\"")
                .append(quantile)
                .append("\"} ")
                .append(nanos / NANOS_PER_SECOND)
                .append('\n');
    }

    private static String metricName(String name) {
        return PREFIX + name.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT);
    }
}
