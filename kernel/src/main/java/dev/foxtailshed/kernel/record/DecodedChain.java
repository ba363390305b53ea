package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.record.RecordFinding.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * A chain of batches decoded from the objects of the platform, with the defects of the chain
 * itself.
 *
 * <p>Example: <code>DecodedChain chain = DecodedChain.of(id, storedObjects);</code> Immutable and
 * thread-safe.
 */
public final class DecodedChain {

    private final RecordChainId id;
    private final List<RecordBatch> batches;
    private final List<RecordFinding> findings;

    private DecodedChain(
            RecordChainId id, List<RecordBatch> batches, List<RecordFinding> findings) {
        this.id = id;
        this.batches = List.copyOf(batches);
        this.findings = List.copyOf(findings);
    }

    /**
     * Decodes and checks a chain.
     *
     * @param id the id of the chain
     * @param stored the bodies of its objects, ordered by object name
     * @return the decoded chain
     */
    public static DecodedChain of(RecordChainId id, List<byte[]> stored) {
        List<RecordBatch> batches = new ArrayList<>();
        List<RecordFinding> findings = new ArrayList<>();
        String expectedDigest = RecordBatch.NO_PREVIOUS_DIGEST;
        long expectedSequence = 1;
        for (byte[] bytes : stored) {
            RecordBatch batch = RecordCodec.decode(bytes).orElse(null);
            if (batch == null || !batch.chain().equals(id)) {
                findings.add(finding(Kind.BROKEN_LINK, id, expectedSequence, "cannot be read"));
                expectedSequence++;
                expectedDigest = RecordCodec.digest(bytes);
                continue;
            }
            check(id, batch, expectedSequence, expectedDigest, findings);
            batches.add(batch);
            expectedSequence = batch.sequence() + 1;
            expectedDigest = RecordCodec.digest(bytes);
        }
        return new DecodedChain(id, batches, findings);
    }

    private static void check(
            RecordChainId id,
            RecordBatch batch,
            long expectedSequence,
            String expectedDigest,
            List<RecordFinding> findings) {
        if (batch.sequence() != expectedSequence) {
            findings.add(finding(Kind.GAP, id, expectedSequence, "is missing"));
        } else if (!batch.previousDigest().equals(expectedDigest)) {
            findings.add(
                    finding(
                            Kind.BROKEN_LINK,
                            id,
                            expectedSequence - 1,
                            "does not match the digest in its successor"));
        }
        if (batch.lost() > 0) {
            findings.add(
                    finding(Kind.GAP, id, batch.sequence(), batch.lost() + " records were lost"));
        }
    }

    /**
     * Returns the id of the chain.
     *
     * @return the id
     */
    public RecordChainId id() {
        return id;
    }

    /**
     * Returns the batches that could be decoded.
     *
     * @return the batches in order
     */
    public List<RecordBatch> batches() {
        return batches;
    }

    /**
     * Returns the defects of the chain itself.
     *
     * @return gaps and broken links
     */
    public List<RecordFinding> findings() {
        return findings;
    }

    /**
     * Returns the time up to which the chain is complete.
     *
     * @return the end of its last batch, or {@link Long#MAX_VALUE} after an orderly shutdown
     */
    public long untilEpochMillis() {
        if (batches.isEmpty()) {
            return 0;
        }
        RecordBatch last = batches.get(batches.size() - 1);
        return last.closing() ? Long.MAX_VALUE : last.untilEpochMillis();
    }

    private static RecordFinding finding(Kind kind, RecordChainId id, long sequence, String text) {
        return new RecordFinding(kind, id.toString(), "batch " + sequence + " " + text);
    }
}
