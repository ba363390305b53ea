package dev.foxtailshed.daemon.internal.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.kernel.ErrorCode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts the outcomes of requests by deployment, request class and cause. Thread-safe.
 *
 * <p>The parts of a name are separated by dots: <code>requests.met.DEPLOYMENT.CLASS</code>.
 */
public final class EntryMetrics {

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry the registry in which the metrics are created
     */
    public EntryMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Returns the registry that holds the metrics.
     *
     * @return the registry, shared with other metrics of the entry
     */
    public MetricRegistry registry() {
        return registry;
    }

    void countAnswered(MetricLabels labels, boolean targetsMet, long firstMillis) {
        registry.counter(name("requests", targetsMet ? "met" : "missed", labels)).inc();
        registry.timer(name("firstToken", "time", labels))
                .update(firstMillis, TimeUnit.MILLISECONDS);
    }

    void countFailed(MetricLabels labels, ErrorCode code) {
        registry.counter(name("requests", "failed", labels)).inc();
        registry.counter(MetricRegistry.name("errors", code.label())).inc();
    }

    void countRetry(MetricLabels labels) {
        registry.counter(name("requests", "retried", labels)).inc();
    }

    void countPrefill(MetricLabels labels, long tokens) {
        registry.counter(name("prefillTokens", "read", labels)).inc(tokens);
    }

    void countWastedPrefill(MetricLabels labels, String cause, long tokens) {
        registry.counter(name("prefillTokens", "wasted", labels) + "." + cause).inc(tokens);
    }

    /** Returns the sum of all counters whose names start with the prefix and a dot. */
    long sumOf(String prefix) {
        return registry
                .getCounters((name, metric) -> name.startsWith(prefix + "."))
                .values()
                .stream()
                .mapToLong(Counter::getCount)
                .sum();
    }

    /** Returns the number of requests with the given outcome: met, missed or failed. */
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

    private static String name(String kind, String what, MetricLabels labels) {
        return MetricRegistry.name(kind, what, labels.deployment(), labels.requestClass());
    }

    /**
     * The labels under which a request is counted.
     *
     * @param deployment the name of the deployment
     * @param requestClass the name of the request class
     */
    record MetricLabels(String deployment, String requestClass) {}
}
