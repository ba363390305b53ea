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
 * Serves counters, gauges and latency quantiles in the text format that collectors scrape.
 *
 * <p>Times are in seconds, as is usual in that format. Thread-safe.
 */
public final class MetricsTextEndpoint implements Endpoint {

    private static final String PATH = "/metrics/text";
    private static final String PREFIX = "foxtailshed_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final MetricRegistry registry;

    /**
     * Creates the endpoint.
     *
     * @param registry what is served
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
                                sample(
                                        text,
                                        "counter",
                                        nameOf(name) + "_total",
                                        counter.getCount()));
        registry.getGauges()
                .forEach((name, gauge) -> sample(text, "gauge", nameOf(name), gauge.getValue()));
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            summary(text, nameOf(entry.getKey()) + "_seconds", entry.getValue());
        }
        return text.toString();
    }

    private static void sample(StringBuilder text, String type, String name, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void summary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        quantile(text, name, "0.5", snapshot.getMedian());
        quantile(text, name, "0.95", snapshot.get95thPercentile());
        quantile(text, name, "0.99", snapshot.get99thPercentile());
        text.append(name).append("_count ").append(timer.getCount()).append('\n');
    }

    private static void quantile(StringBuilder text, String name, String quantile, double nanos) {
        text.append(name)
                .append("{quantile=\"")
                .append(quantile)
                .append("\"} ")
                .append(nanos / NANOS_PER_SECOND)
                .append('\n');
    }

    private static String nameOf(String name) {
        return PREFIX + name.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT);
    }
}
