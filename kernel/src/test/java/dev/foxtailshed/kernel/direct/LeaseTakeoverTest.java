package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests who may acquire a lease, also after a restore of the store. */
class LeaseTakeoverTest {

    private static final long TAKEOVER_MILLIS = 600;
    private static final Optional<String> NOBODY = Optional.empty();
    private static final Optional<String> SELF = Optional.of("self");
    private static final Optional<String> OTHER = Optional.of("other");

    private final LeaseTakeover takeover = new LeaseTakeover("self", TAKEOVER_MILLIS);

    private static StorePosition position(long era, long revision) {
        return new StorePosition(era, revision);
    }

    @Test
    void freeAndOwnLeasesAreAcquiredAtOnce() {
        assertThat(takeover.mayAcquire(NOBODY, position(1, 0), 0)).isTrue();
        assertThat(takeover.mayAcquire(SELF, position(1, 7), 1)).isTrue();
    }

    @Test
    void anotherHoldersLeaseIsAcquiredOnceItIsNoLongerRenewed() {
        assertThat(takeover.mayAcquire(OTHER, position(1, 7), 0)).isFalse();
        assertThat(takeover.mayAcquire(OTHER, position(1, 9), 500)).isFalse();
        assertThat(takeover.mayAcquire(OTHER, position(1, 9), 1_099)).isFalse();
        assertThat(takeover.mayAcquire(OTHER, position(1, 9), 1_100)).isTrue();
    }

    /** The holder of the lost time may still act, and the copy may name an earlier one. */
    @ParameterizedTest
    @ValueSource(strings = {"", "self", "other"})
    void nobodyAcquiresALeaseThatAnotherMayHoldSinceARestore(String holder) {
        Optional<String> current = holder.isEmpty() ? NOBODY : Optional.of(holder);
        takeover.observeStore(position(1, 90), 0);
        takeover.recordOtherHolder(1_000);

        assertThat(takeover.mayAcquire(current, position(2, 80), 1_000)).isFalse();
        assertThat(takeover.mayAcquire(current, position(2, 80), 1_599)).isFalse();
        takeover.observeStore(position(1, 95), 1_599);
        boolean own = !current.equals(OTHER);
        assertThat(takeover.mayAcquire(current, position(2, 80), 1_600)).isEqualTo(own);
        assertThat(takeover.mayAcquire(current, position(2, 80), 2_200)).isTrue();
    }

    /** No other process has announced anything, so none can have lost a lease. */
    @Test
    void ownAndFreeLeasesAreAcquiredAfterARestoreIfNoOtherHolderWasActive() {
        takeover.recordOtherHolder(0);
        takeover.observeStore(position(1, 90), 0);

        assertThat(takeover.mayAcquire(SELF, position(2, 80), 1_000)).isTrue();
        assertThat(takeover.mayAcquire(NOBODY, position(2, 81), 1_001)).isTrue();
        assertThat(takeover.mayAcquire(OTHER, position(2, 82), 1_002)).isFalse();
    }

    /** The expected revision was given out again for the lease of another holder. */
    @Test
    void writeAcrossARestoreDoesNotAcquireTheLease() {
        assertThat(takeover.isAcquired(position(1, 7), position(1, 8), 0)).isTrue();
        assertThat(takeover.isAcquired(position(1, 7), position(2, 8), 10)).isFalse();
        assertThat(takeover.mayAcquire(SELF, position(2, 8), 20)).isFalse();
    }
}
