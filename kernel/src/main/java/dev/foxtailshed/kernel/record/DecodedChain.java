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

    private final RecordChainId chain;
    private final List<RecordBatch> batches;
    private final List<RecordFinding> findings;

    private DecodedChain(
            RecordChainId chain, List<RecordBatch> batches, List<RecordFinding> findings) {
        this.chain = chain;
        this.batches = List.copyOf(batches);
        this.findings = List.copyOf(findings);
    }

    /**
     * Decodes and checks a chain.
     *
     * @param chain the id of the chain
     * @param stored the bodies of its objects, ordered by object name
     * @return the decoded chain
     */
    public static DecodedChain of(RecordChainId chain, List<byte[]> stored) {
        List<RecordBatch> batches = new ArrayList<>();
        List<RecordFinding> findings = new ArrayList<>();
        String expectedDigest = RecordBatch.NO_PREVIOUS_DIGEST;
        long expectedSequence = 1;
        for (byte[] bytes : stored) {
            RecordBatch batch = RecordCodec.decode(bytes).orElse(null);
            if (batch == null || !batch.chain().equals(chain)) {
                findings.add(finding(Kind.BROKEN_LINK, chain, expectedSequence, "cannot be read"));
                expectedSequence++;
                expectedDigest = RecordCodec.digest(bytes);
                continue;
            }
            check(chain, batch, expectedSequence, expectedDigest, findings);
            batches.add(batch);
            expectedSequence = batch.sequence() + 1;
            expectedDigest = RecordCodec.digest(bytes);
        }
        return new DecodedChain(chain, batches, findings);
    }

    private static void check(
            RecordChainId chain,
            RecordBatch batch,
            long expectedSequence,
            String expectedDigest,
            List<RecordFinding> findings) {
        if (batch.sequence() != expectedSequence) {
            findings.add(finding(Kind.GAP, chain, expectedSequence, "is missing"));
        } else if (!batch.previousDigest().equals(expectedDigest)) {
            findings.add(
                    finding(
                            Kind.BROKEN_LINK,
                            chain,
                            expectedSequence - 1,
                            "does not match the digest in its successor"));
        }
        if (batch.lost() > 0) {
            findings.add(
                    finding(
                            Kind.GAP,
                            chain,
                            batch.sequence(),
                            batch.lost() + " records were lost"));
        }
    }

    /**
     * Returns the id of the chain.
     *
     * @return the id
     */
    public RecordChainId id() {
        return chain;
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

    private static RecordFinding finding(
            Kind kind, RecordChainId chain, long sequence, String text) {
        return new RecordFinding(kind, chain.toString(), "batch " + sequence + " " + text);
    }
}
