package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.Verdict;
import java.util.Objects;

/**
 * One attempt of a request, as recorded by the entry.
 *
 * @param attempt the attempt's label
 * @param server the name of the backend server
 * @param kind {@code call}, {@code prefill} or {@code decode}
 * @param verdict whether it may have run
 * @param code the error code, empty for a successful attempt
 */
public record AttemptRecord(
        String attempt, String server, String kind, Verdict verdict, String code) {

    /** Checks that no component is null. */
    public AttemptRecord {
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(code, "code");
    }
}
