package dev.foxtailshed.kernel.record;

import dev.foxtailshed.kernel.record.RecordFinding.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * A chain of batches as it was read from the platform, with what is wrong with the chain itself.
 *
 * <p>Example: <code>DecodedChain chain = ReadChain.of(name, storedObjects);</code> Immutable and
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
     * @param chain the chain's name
     * @param stored the bodies of its objects, in order of their names
     * @return the chain
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
                            "is not the batch that its successor names"));
        }
        if (batch.lost() > 0) {
            findings.add(
                    finding(Kind.GAP, chain, batch.sequence(), batch.lost() + " notes were lost"));
        }
    }

    /**
     * Returns the chain's name.
     *
     * @return the name
     */
    public RecordChainId chain() {
        return chain;
    }

    /**
     * Returns the batches that could be read.
     *
     * @return the batches in order
     */
    public List<RecordBatch> batches() {
        return batches;
    }

    /**
     * Returns what is wrong with the chain itself.
     *
     * @return gaps and broken links
     */
    public List<RecordFinding> findings() {
        return findings;
    }

    /**
     * Returns up to when the chain tells everything.
     *
     * @return the time of its last batch; the end of time if the instance shut down in order
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
