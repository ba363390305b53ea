package dev.foxtailshed.daemon.internal.claims;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;

/** Counts the events of claims and logs those that operators need. Thread-safe. */
public final class LoggingClaimEvents implements ClaimEvents {

    private final Counter writes;
    private final Counter changes;
    private final Counter conflicts;
    private final Counter failures;
    private final Counter abandoned;

    /**
     * Creates the counters <code>claims.*</code>.
     *
     * @param registry the registry that holds the counters
     */
    public LoggingClaimEvents(MetricRegistry registry) {
        this.writes = registry.counter("claims.writes");
        this.changes = registry.counter("claims.changes");
        this.conflicts = registry.counter("claims.conflicts");
        this.failures = registry.counter("claims.failures");
        this.abandoned = registry.counter("claims.abandoned");
    }

    @Override
    public void writing(int changeCount) {
        writes.inc();
        changes.inc(changeCount);
    }

    @Override
    public void conflict() {
        conflicts.inc();
    }

    @Override
    public void failed(String objectName, String cause, boolean first) {
        failures.inc();
        if (first) {
            EventLog.log(
                    EventCode.STORE_UNAVAILABLE,
                    Field.of("object", objectName),
                    Field.of("cause", cause));
        }
    }

    @Override
    public void unreadable(String objectName, String cause) {
        EventLog.log(
                EventCode.CLAIMS_UNREADABLE,
                Field.of("object", objectName),
                Field.of("cause", cause));
    }

    @Override
    public void abandoned() {
        abandoned.inc();
    }
}
