package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Updates the metrics of tenants' quotas and logs which tenants are at their limit. */
final class QuotaRecorder {

    /** Tenants with metrics of their own; the others share one set, to bound the metrics' size. */
    private static final int MAXIMUM_TENANTS = 64;

    private static final String OTHERS = "others";

    /** Period in which a tenant that stays at its limit is logged once. */
    private static final long LIMIT_PERIOD_MILLIS = 1_000;

    private final MetricRegistry registry;
    private final TimerService timer;
    private final Map<String, Period> periods = new HashMap<>();

    /** The rejections of a tenant since it was last logged. */
    private static final class Period {
        private long startMillis = Long.MIN_VALUE / 2;
        private long rejected;
        private double tokens;
    }

    QuotaRecorder(MetricRegistry registry, TimerService timer) {
        this.registry = registry;
        this.timer = timer;
    }

    void recordAdmission(String tenant, double tokens, long waitedMillis) {
        String label = label(tenant);
        registry.counter("quota.admitted." + label).inc();
        registry.counter("quota.tokens." + label).inc((long) tokens);
        registry.timer("quota.waited." + label).update(waitedMillis, TimeUnit.MILLISECONDS);
    }

    /** Records a request that was rejected; logs its tenant if it was not logged recently. */
    void recordRejection(String tenant, double tokens, long creditAfterMillis) {
        registry.counter("quota.rejected." + label(tenant)).inc();
        Period period = periods.computeIfAbsent(label(tenant), key -> new Period());
        period.rejected++;
        period.tokens += tokens;
        long nowMillis = timer.nowMillis();
        if (nowMillis - period.startMillis < LIMIT_PERIOD_MILLIS) {
            return;
        }
        EventLog.log(
                EventCode.TENANT_AT_LIMIT,
                Field.of("tenant", tenant),
                Field.of("rejected", period.rejected),
                Field.of("rejectedTokens", (long) period.tokens),
                Field.of("creditAfterMillis", creditAfterMillis));
        period.startMillis = nowMillis;
        period.rejected = 0;
        period.tokens = 0;
    }

    void recordRefund(String tenant, double tokens) {
        registry.counter("quota.refunded." + label(tenant)).inc((long) tokens);
    }

    /** Records the end of a draw; the tokens are empty if the draw or its reply was lost. */
    void recordDraw(Optional<Double> tokens) {
        String outcome = tokens.map(t -> t > 0 ? "granted" : "refused").orElse("lost");
        registry.counter("quota.draws." + outcome).inc();
    }

    void recordCollection(boolean answered) {
        registry.counter("quota.collections." + (answered ? "answered" : "lost")).inc();
    }

    /** Returns the name under which a tenant is counted. */
    private String label(String tenant) {
        if (periods.containsKey(tenant)) {
            return tenant;
        }
        if (periods.size() >= MAXIMUM_TENANTS) {
            return OTHERS;
        }
        periods.put(tenant, new Period());
        return tenant;
    }
}
