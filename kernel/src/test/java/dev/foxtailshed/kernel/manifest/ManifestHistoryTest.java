package dev.foxtailshed.kernel.manifest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.foxtailshed.kernel.manifest.ManifestHistory.BrokenLink;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that any change of the history is detected and that the version in force only grows. */
class ManifestHistoryTest {

    private static final int VERSIONS = 4;

    static Stream<Arguments> tamperings() {
        return Stream.of(
                        arguments("version", edit(e -> with(e, e.version() + 9, e.who()))),
                        arguments("who", edit(e -> with(e, e.version(), "other"))),
                        arguments(
                                "address",
                                edit(e -> copy(e, "9.9.9.9", e.atEpochMillis(), "id", "dd"))),
                        arguments("time", edit(e -> copy(e, e.fromAddress(), 1, "id", "dd"))),
                        arguments(
                                "submission",
                                edit(e -> copy(e, e.fromAddress(), e.atEpochMillis(), "x", "dd"))),
                        arguments(
                                "document",
                                edit(e -> copy(e, e.fromAddress(), e.atEpochMillis(), "id", "x"))),
                        arguments("removed", (Tampering) List::remove),
                        arguments("doubled", (Tampering) (list, i) -> list.add(i, list.get(i))),
                        arguments(
                                "swapped",
                                (Tampering) (list, i) -> list.add(i == 0 ? 1 : 0, list.remove(i))))
                .flatMap(
                        base ->
                                Stream.of(0, 1, 2, 3)
                                        .map(i -> arguments(base.get()[0], i, base.get()[1])));
    }

    @ParameterizedTest(name = "{0} of entry {1}")
    @MethodSource("tamperings")
    void tamperingIsDetected(String what, int index, Tampering tampering) {
        List<ManifestHistoryEntry> entries = chain();
        String newestEntryDigest = entries.get(VERSIONS - 1).digest();
        assertThat(ManifestHistory.verifyComplete(entries, newestEntryDigest)).isEmpty();

        tampering.apply(entries, index);

        assertThat(ManifestHistory.verifyComplete(entries, newestEntryDigest)).isNotEmpty();
    }

    @Test
    void brokenLinkNamesTheVersionsOnBothSides() {
        List<ManifestHistoryEntry> entries = chain();
        entries.set(1, with(entries.get(1), 2, "other"));

        assertThat(ManifestHistory.verifyChain(entries))
                .containsExactly(new BrokenLink(3, "does not match the entry of version 2"));
        assertThat(ManifestHistory.verifyChain(entries.subList(2, VERSIONS))).isEmpty();
    }

    @Test
    void canonicalFormIsStable() {
        ManifestHistoryEntry entry = new ManifestHistoryEntry(1, "ñ", "a", 5, "s", "d", "p");

        assertThat(new String(entry.canonicalBytes(), StandardCharsets.UTF_8))
                .isEqualTo("21:foxtailshed-history-1\n1:1\n2:ñ\n1:a\n1:5\n1:s\n1:d\n1:p\n");
    }

    @ParameterizedTest
    @CsvSource({"0, 1, true", "3, 4, true", "3, 3, false", "4, 3, false", "4, 0, false"})
    void olderVersionIsNeverApplied(long current, long offered, boolean applied) {
        assertThat(VersionGuard.shouldApply(current, offered)).isEqualTo(applied);
        assertThat(inForce(current).newerOf(inForce(offered)).version())
                .isEqualTo(Math.max(current, offered));
    }

    @Test
    void diffMatchesEntriesByName() {
        byte[] before = "{\"s\":[{\"name\":\"a\",\"n\":1},{\"name\":\"b\"}],\"x\":1}".getBytes();
        byte[] after = "{\"s\":[{\"name\":\"c\"},{\"n\":2,\"name\":\"a\"}],\"x\":1}".getBytes();

        assertThat(new ManifestDiff().compare(before, after).get())
                .extracting(c -> c.kind() + " " + c.path() + " " + c.before().orElse("-"))
                .containsExactly(
                        "CHANGED $.s[a].n 1", "REMOVED $.s[b] {\"name\":\"b\"}", "ADDED $.s[c] -");
        assertThat(new ManifestDiff().compare(before, "{".getBytes()).isLeft()).isTrue();
    }

    private static ManifestInForce inForce(long version) {
        Manifest empty =
                new Manifest(
                        "n", "r", List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
        return version == 0 ? ManifestInForce.NONE : ManifestInForce.of(version, empty);
    }

    private static List<ManifestHistoryEntry> chain() {
        List<ManifestHistoryEntry> entries = new ArrayList<>();
        String previous = Digests.NONE;
        for (int version = 1; version <= VERSIONS; version++) {
            entries.add(
                    new ManifestHistoryEntry(
                            version, "who", "1.1.1.1", 1000 + version, "id", "dd", previous));
            previous = entries.get(version - 1).digest();
        }
        return entries;
    }

    private static Tampering edit(UnaryOperator<ManifestHistoryEntry> change) {
        return (list, i) -> list.set(i, change.apply(list.get(i)));
    }

    private static ManifestHistoryEntry with(ManifestHistoryEntry e, long version, String who) {
        return new ManifestHistoryEntry(
                version,
                who,
                e.fromAddress(),
                e.atEpochMillis(),
                e.submissionId(),
                e.documentDigest(),
                e.previousEntryDigest());
    }

    private static ManifestHistoryEntry copy(
            ManifestHistoryEntry e, String from, long at, String submission, String document) {
        return new ManifestHistoryEntry(
                e.version(), e.who(), from, at, submission, document, e.previousEntryDigest());
    }

    /** A manipulation of the history at an index. */
    interface Tampering {
        /** Manipulates the list of entries. */
        void apply(List<ManifestHistoryEntry> entries, int index);
    }
}
