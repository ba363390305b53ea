package dev.foxtailshed.kernel.record;

import java.util.List;
import java.util.Objects;

/**
 * One stored object of the record: what an instance recorded since its previous batch.
 *
 * @param chain the id of the chain, which names the writer
 * @param sequence the number of the batch in its chain, from one
 * @param previousDigest the digest of the previous batch, {@link #NO_PREVIOUS_DIGEST} for the first
 *     one
 * @param untilEpochMillis the time before which everything that ended is in this batch or an
 *     earlier one
 * @param lost the number of records dropped because the buffer was full
 * @param closing whether this is the last batch before an orderly shutdown
 * @param requests the outcomes reported to callers, for entries
 * @param runs the runs at the backend server, for sidecars
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

    /** The previous digest of a first batch. */
    public static final String NO_PREVIOUS_DIGEST = "0".repeat(64);

    /** Checks for null and copies the lists. */
    public RecordBatch {
        Objects.requireNonNull(chain, "chain");
        Objects.requireNonNull(previousDigest, "previousDigest");
        requests = List.copyOf(requests);
        runs = List.copyOf(runs);
    }

    /**
     * Returns the name of the object that holds this batch.
     *
     * @return the name; names sort by sequence
     */
    public String objectName() {
        return chain.objectPrefix() + String.format("%010d", sequence);
    }
}
