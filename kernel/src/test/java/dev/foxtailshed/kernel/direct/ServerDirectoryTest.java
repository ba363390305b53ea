package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.ServerDirectory.Registration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which servers may get new requests when the store's data changes, is outdated or is
 * unavailable.
 */
class ServerDirectoryTest {

    private final DirectServer first = TestServers.plain("i-1", "a");
    private final DirectServer second = TestServers.plain("i-2", "b");
    private final ServerDirectory directory = new ServerDirectory();

    @BeforeEach
    void listBoth() {
        directory.replaceAll(List.of(written(first, 1, 1), written(second, 1, 1)), 0);
    }

    @Test
    void drainingServerStaysExcludedAfterAnOlderRead() {
        directory.update(written(TestServers.draining(first), 1, 2));
        assertThat(directory.usable()).containsExactly(second);

        directory.replaceAll(List.of(written(first, 1, 1), written(second, 1, 1)), 10);

        assertThat(directory.usable()).containsExactly(second);
    }

    /** A server says in a response that it is leaving, whatever its entry says. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void serverThatSaysItLeavesStaysExcludedForItsIncarnation(boolean storeUnavailable) {
        if (storeUnavailable) {
            directory.markStoreUnavailable();
        }
        assertThat(directory.markLeaving(first.incarnation())).isTrue();
        assertThat(directory.markLeaving(first.incarnation())).isFalse();
        assertThat(directory.usable()).containsExactly(second);
        assertThat(directory.draining()).containsExactly(first);

        directory.update(written(first, 1, 2));
        directory.remove(first.id(), 10);
        directory.markStoreAvailable(20);
        directory.replaceAll(List.of(written(first, 1, 3), written(second, 1, 1)), 20);
        assertThat(directory.usable()).containsExactly(second);

        DirectServer restarted = TestServers.restarted(first);
        directory.update(written(restarted, 1, 4));
        assertThat(directory.usable()).containsExactly(restarted, second);
        assertThat(directory.markLeaving(first.incarnation())).isFalse();
        assertThat(directory.usable()).containsExactly(restarted, second);
    }

    /** Only the entry of the next incarnation, or one written later, ends the exclusion. */
    @Test
    void olderReadsOfARemovedEntryAreIgnored() {
        directory.remove(first.id(), 10);
        assertThat(directory.usable()).containsExactly(second);

        directory.update(written(first, 1, 1));
        directory.replaceAll(List.of(written(first, 1, 1), written(second, 1, 1)), 20);
        assertThat(directory.usable()).containsExactly(second);

        DirectServer restarted = TestServers.restarted(first);
        directory.update(written(restarted, 1, 2));
        assertThat(directory.usable()).containsExactly(restarted, second);
    }

    /** A server that could not reach the store for a while writes its entry again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void removedServerThatWritesItsEntryAgainIsUsable(boolean listed) {
        directory.remove(first.id(), 10);

        if (listed) {
            directory.replaceAll(List.of(written(first, 1, 2), written(second, 1, 1)), 20);
        } else {
            directory.update(written(first, 1, 2));
        }

        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void expiredServerThatWritesItsEntryAgainIsUsable() {
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(written(second, 2, 1)), 1_000);
        assertThat(directory.expireMissing(3_000)).containsExactly(first);

        directory.update(written(first, 2, 2));

        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void drainedServerStaysExcludedWhateverItWrites() {
        directory.update(written(TestServers.draining(first), 1, 2));
        directory.remove(first.id(), 10);

        directory.update(written(first, 1, 3));

        assertThat(directory.usable()).containsExactly(second);
    }

    /** The copy of the store is from before the removal. */
    @Test
    void entryThatARestoreBringsBackCountsOnceItIsWrittenAgain() {
        directory.remove(first.id(), 10);
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(written(first, 2, 1), written(second, 2, 1)), 1_000);
        assertThat(directory.usable()).containsExactly(second);

        directory.update(written(first, 2, 2));

        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void entryOfAnEarlierIncarnationIsIgnored() {
        DirectServer restarted = TestServers.restarted(first);
        directory.update(written(restarted, 1, 2));

        directory.update(written(TestServers.draining(first), 1, 2));

        assertThat(directory.usable()).containsExactly(restarted, second);
    }

    /** The outage may have been too short to be noticed. */
    @Test
    void entryThatARestoreHasLostKeepsItsServerUntilItIsWrittenAgain() {
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(written(second, 1, 1)), 1_000);
        assertThat(directory.usable()).containsExactly(first, second);

        directory.update(written(first, 1, 2));
        assertThat(directory.expireMissing(3_000)).isEmpty();
        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void entryThatStaysMissingAfterARestoreHasLeft() {
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(written(second, 1, 1)), 1_000);

        assertThat(directory.expireMissing(2_999)).isEmpty();
        assertThat(directory.expireMissing(3_000)).containsExactly(first);
        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void missingEntryKeepsItsServerUntilTheGracePeriodEnds() {
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.replaceAll(List.of(written(second, 1, 1)), 1_000);
        assertThat(directory.usable()).containsExactly(first, second);

        assertThat(directory.expireMissing(1_000 + ServerDirectory.RETURN_GRACE_MILLIS - 1))
                .isEmpty();
        assertThat(directory.expireMissing(1_000 + ServerDirectory.RETURN_GRACE_MILLIS))
                .containsExactly(first);
        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void entryThatReappearsWithinTheGracePeriodStays() {
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.replaceAll(List.of(written(second, 1, 1)), 1_000);

        directory.update(written(first, 1, 2));

        assertThat(directory.expireMissing(10_000)).isEmpty();
        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void drainingServerGetsNoGracePeriod() {
        directory.update(written(TestServers.draining(first), 1, 2));
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.replaceAll(List.of(written(second, 1, 1)), 1_000);

        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void removalAfterTheGracePeriodTakesEffectAtOnce() {
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.remove(first.id(), 1_001 + ServerDirectory.RETURN_GRACE_MILLIS);

        assertThat(directory.usable()).containsExactly(second);
    }

    private static Registration written(DirectServer server, long era, long revision) {
        return new Registration(server, new StorePosition(era, revision));
    }
}
