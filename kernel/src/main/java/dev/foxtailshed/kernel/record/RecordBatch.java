package dev.foxtailshed.kernel.record;

import java.util.List;
import java.util.Objects;

/**
 * One object of the record: what one instance noted since its batch before.
 *
 * @param chain who wrote it
 * @param sequence its number in the chain, from one
 * @param previousDigest the digest of the batch before, {@link #NO_PREVIOUS_DIGEST} for the first
 * @param untilEpochMillis everything that ended before this time is in this batch or an earlier one
 * @param lost how many notes were dropped because the buffer was full
 * @param closing whether the instance shut down in order after this batch
 * @param requests what callers were told, for entries
 * @param runs what ran, for sidecars
 */
public record RecordBatch(
        RecordChainId chain,
        long sequence,
        String previousDigest,
        long untilEpochMillis,
        long lost,
        boolean closing,
        List<RequestRecord> requests,
        List<RunRecord> runs) {

    /** Stands where there is no batch before. */
    public static final String NO_PREVIOUS_DIGEST = "0".repeat(64);

    /** Checks that no part is missing. */
    public RecordBatch {
        Objects.requireNonNull(chain, "chain");
        Objects.requireNonNull(previousDigest, "previousDigest");
        requests = List.copyOf(requests);
        runs = List.copyOf(runs);
    }

    /**
     * Returns the name of the object that holds this batch.
     *
     * @return the name, which sorts by sequence
     */
    public String objectName() {
        return chain.objectPrefix() + String.format("%010d", sequence);
    }
}
