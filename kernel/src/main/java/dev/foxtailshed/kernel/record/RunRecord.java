package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.Verdict;
import java.util.Objects;

/**
 * A run at a backend server, recorded by its sidecar.
 *
 * @param attempt the attempt's label
 * @param kind {@code call}, {@code prefill} or {@code decode}
 * @param endedEpochMillis the time at which the run ended
 * @param verdict whether it may have run
 * @param code the error code, empty for a successful run
 */
public record RunRecord(
        String attempt, String kind, long endedEpochMillis, Verdict verdict, String code) {

    /** Checks that no component is null. */
    public RunRecord {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(code, "code");
    }
}
