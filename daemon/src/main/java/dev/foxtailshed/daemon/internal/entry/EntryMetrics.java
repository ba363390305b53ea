package dev.foxtailshed.daemon.internal.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.kernel.ErrorCode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts what callers got, by deployment, request class and cause. Thread-safe.
 *
 * <p>Names are parted by dots: <code>requests.met.DEPLOYMENT.CLASS</code>.
 */
public final class EntryMetrics {

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry where they are kept
     */
    public EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Returns where the metrics are kept.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    void answered(MetricLabels label, boolean targetsMet, long firstMillis) {
        registry.counter(name("requests", targetsMet ? "met" : "missed", label)).inc();
        registry.timer(name("firstToken", "time", label))
                .update(firstMillis, TimeUnit.MILLISECONDS);
    }

    void failed(MetricLabels label, ErrorCode code) {
        registry.counter(name("requests", "failed", label)).inc();
        registry.counter(MetricRegistry.name("errors", code.label())).inc();
    }

    void retried(MetricLabels label) {
        registry.counter(name("requests", "retried", label)).inc();
    }

    void prefilled(MetricLabels label, long tokens) {
        registry.counter(name("prefillTokens", "read", label)).inc(tokens);
    }

    void wastedPrefill(MetricLabels label, String cause, long tokens) {
        registry.counter(name("prefillTokens", "wasted", label) + "." + cause).inc(tokens);
    }

    /** Adds up all counters whose names begin with the prefix. */
    long sumOf(String prefix) {
        return registry
                .getCounters((name, metric) -> name.startsWith(prefix + "."))
                .values()
                .stream()
                .mapToLong(Counter::getCount)
                .sum();
    }

    /** Returns the counts of requests with one outcome: met, missed or failed. */
    Map<MetricLabels, Long> requestsBy(String outcome) {
        String prefix = MetricRegistry.name("requests", outcome) + ".";
        Map<MetricLabels, Long> counts = new HashMap<>();
        registry.getCounters((name, metric) -> name.startsWith(prefix))
                .forEach(
                        (name, counter) -> {
                            String[] parts = name.substring(prefix.length()).split("\\.");
                            counts.put(new MetricLabels(parts[0], parts[1]), counter.getCount());
                        });
        return counts;
    }

    private static String name(String kind, String what, MetricLabels label) {
        return MetricRegistry.name(kind, what, label.deployment(), label.requestClass());
    }

    /**
     * What a request is counted under.
     *
     * @param deployment the deployment
     * @param requestClass the request class
     */
    record MetricLabels(String deployment, String requestClass) {}
}
