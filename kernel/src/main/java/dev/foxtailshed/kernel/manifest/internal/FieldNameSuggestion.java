package dev.foxtailshed.kernel.manifest.internal;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Suggests a known field for an unknown one that differs only in its unit suffix. */
final class FieldNameSuggestion {

    private static final int MAXIMUM_FIELD_CHARACTERS = 64;
    private static final Pattern UNITS =
            Pattern.compile(
                    "(Nanos|Micros|Millis|Milliseconds|Ms|Secs?|Seconds|Minutes|Hours"
                            + "|Bytes|Kilobytes|Megabytes|Gigabytes|Bits|Kilobits|Megabits|Gigabits"
                            + "|Kb|Mb|Gb|KB|MB|GB|KiB|MiB|GiB|Percent|Ratio|Fraction"
                            + "|PerSecond|PerMinute|PerHour)+$");

    private FieldNameSuggestion() {}

    static Optional<String> suggest(String unknownField, Collection<String> knownFields) {
        if (unknownField.length() > MAXIMUM_FIELD_CHARACTERS) {
            return Optional.empty();
        }
        String stem = stem(unknownField);
        return knownFields.stream().filter(known -> stem(known).equals(stem)).findFirst();
    }

    private static String stem(String field) {
        return UNITS.matcher(field).replaceFirst("").toLowerCase(Locale.ROOT);
    }
}
