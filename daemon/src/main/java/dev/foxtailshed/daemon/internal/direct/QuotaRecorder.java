package dev.foxtailshed.daemon.internal.direct;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.manifest.Digests;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Updates the metrics of workspaces' quotas and logs which workspaces are at their limit. */
final class QuotaRecorder {

    /**
     * Workspaces with metrics of their own; the others share one set, to bound the metrics' size.
     */
    private static final int MAXIMUM_WORKSPACES = 64;

    private static final String OTHERS = "others";

    /** Names that stay different in names of metrics. */
    private static final Pattern PLAIN_NAME = Pattern.compile("[a-z0-9-]+");

    private static final int DIGEST_CHARACTERS = 8;

    /** Period in which a workspace that stays at its limit is logged once. */
    private static final long LIMIT_PERIOD_MILLIS = 1_000;

    private final MetricRegistry registry;
    private final TimerService timer;
    private final Map<String, Period> periods = new HashMap<>();
    private final Period sharedPeriod = new Period();

    /** The rejections of a workspace since it was last logged. */
    private static final class Period {
        private long startMillis = Long.MIN_VALUE / 2;
        private long rejected;
        private double tokens;
    }

    QuotaRecorder(MetricRegistry registry, TimerService timer) {
        this.registry = registry;
        this.timer = timer;
    }

    void recordAdmission(String workspace, double tokens, long waitedMillis) {
        String label = metricLabel(label(workspace));
        registry.counter("quota.admitted." + label).inc();
        registry.counter("quota.tokens." + label).inc((long) tokens);
        registry.timer("quota.waited." + label).update(waitedMillis, TimeUnit.MILLISECONDS);
    }

    /** Records a request that was rejected; logs its workspace if it was not logged recently. */
    void recordRejection(String workspace, double tokens, long creditAfterMillis) {
        registry.counter("quota.rejected." + metricLabel(label(workspace))).inc();
        Period period = label(workspace).map(periods::get).orElse(sharedPeriod);
        period.rejected++;
        period.tokens += tokens;
        long nowMillis = timer.nowMillis();
        if (nowMillis - period.startMillis < LIMIT_PERIOD_MILLIS) {
            return;
        }
        EventLog.log(
                EventCode.WORKSPACE_AT_LIMIT,
                Field.of("workspace", workspace),
                Field.of("rejected", period.rejected),
                Field.of("rejectedTokens", (long) period.tokens),
                Field.of("creditAfterMillis", creditAfterMillis));
        period.startMillis = nowMillis;
        period.rejected = 0;
        period.tokens = 0;
    }

    void recordRefund(String workspace, double tokens) {
        registry.counter("quota.refunded." + metricLabel(label(workspace))).inc((long) tokens);
    }

    /** Records the end of a draw; the tokens are empty if the draw or its reply was lost. */
    void recordDraw(Optional<Double> tokens) {
        String outcome = tokens.map(t -> t > 0 ? "granted" : "refused").orElse("lost");
        registry.counter("quota.draws." + outcome).inc();
    }

    void recordCollection(boolean answered) {
        registry.counter("quota.collections." + (answered ? "answered" : "lost")).inc();
    }

    /** Returns the name under which a workspace is counted, empty for those that share one set. */
    private Optional<String> label(String workspace) {
        if (!periods.containsKey(workspace) && periods.size() < MAXIMUM_WORKSPACES) {
            periods.put(workspace, new Period());
        }
        return Optional.of(workspace).filter(periods::containsKey);
    }

    /**
     * Returns a part of a metric's name that stays different from those of other workspaces where
     * names of metrics have small letters, digits and underscores only.
     */
    private static String metricLabel(Optional<String> workspace) {
        return workspace.map(QuotaRecorder::metricLabel).orElse(OTHERS);
    }

    private static String metricLabel(String workspace) {
        if (PLAIN_NAME.matcher(workspace).matches() && !workspace.equals(OTHERS)) {
            return workspace;
        }
        String digest = Digests.sha256(workspace.getBytes(StandardCharsets.UTF_8));
        return workspace + '-' + digest.substring(0, DIGEST_CHARACTERS);
    }
}
