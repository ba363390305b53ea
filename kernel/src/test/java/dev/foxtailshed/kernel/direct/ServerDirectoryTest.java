package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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
        directory.replaceAll(List.of(first, second), 0);
    }

    @Test
    void drainingServerStaysExcludedAfterAnOlderRead() {
        directory.update(TestServers.draining(first));
        assertThat(directory.usable()).containsExactly(second);

        directory.replaceAll(List.of(first, second), 10);

        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void removedServerIsExcludedUntilItsNextIncarnation() {
        directory.remove(first.id(), 10);
        assertThat(directory.usable()).containsExactly(second);

        directory.update(first);
        assertThat(directory.usable()).containsExactly(second);

        DirectServer restarted = TestServers.restarted(first);
        directory.update(restarted);
        assertThat(directory.usable()).containsExactly(restarted, second);
    }

    @Test
    void entryOfAnEarlierIncarnationIsIgnored() {
        DirectServer restarted = TestServers.restarted(first);
        directory.update(restarted);

        directory.update(TestServers.draining(first));

        assertThat(directory.usable()).containsExactly(restarted, second);
    }

    /** The outage may have been too short to be noticed. */
    @Test
    void entryThatARestoreHasLostKeepsItsServerUntilItIsWrittenAgain() {
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(second), 1_000);
        assertThat(directory.usable()).containsExactly(first, second);

        directory.update(first);
        assertThat(directory.expireMissing(3_000)).isEmpty();
        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void entryThatStaysMissingAfterARestoreHasLeft() {
        directory.markStoreRestored(1_000);
        directory.replaceAll(List.of(second), 1_000);

        assertThat(directory.expireMissing(2_999)).isEmpty();
        assertThat(directory.expireMissing(3_000)).containsExactly(first);
        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void missingEntryKeepsItsServerUntilTheGracePeriodEnds() {
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.replaceAll(List.of(second), 1_000);
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
        directory.replaceAll(List.of(second), 1_000);

        directory.update(first);

        assertThat(directory.expireMissing(10_000)).isEmpty();
        assertThat(directory.usable()).containsExactly(first, second);
    }

    @Test
    void drainingServerGetsNoGracePeriod() {
        directory.update(TestServers.draining(first));
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.replaceAll(List.of(second), 1_000);

        assertThat(directory.usable()).containsExactly(second);
    }

    @Test
    void removalAfterTheGracePeriodTakesEffectAtOnce() {
        directory.markStoreUnavailable();
        directory.markStoreAvailable(1_000);
        directory.remove(first.id(), 1_001 + ServerDirectory.RETURN_GRACE_MILLIS);

        assertThat(directory.usable()).containsExactly(second);
    }
}
