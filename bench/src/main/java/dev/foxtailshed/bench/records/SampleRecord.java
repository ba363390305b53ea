package dev.foxtailshed.bench.records;

import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.record.AttemptRecord;
import dev.foxtailshed.kernel.record.RecordBatch;
import dev.foxtailshed.kernel.record.RecordChainId;
import dev.foxtailshed.kernel.record.RecordCodec;
import dev.foxtailshed.kernel.record.RequestRecord;
import dev.foxtailshed.kernel.record.RunRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A generated record of model requests, each with one prefill and one decode attempt that ran.
 *
 * @param chains the chains as stored
 */
record SampleRecord(List<StoredChain> chains) {

    private static final String INCARNATION = "7f3a9c0d12e4b856";
    private static final long ENDED_EPOCH_MILLIS = 1_796_000_000_000L;
    private static final int MAXIMUM_TOOK_MILLIS = 20_000;
    private static final int MAXIMUM_TOKENS = 600;
    private static final int DEPLOYMENTS = 60;
    private static final int CLASSES = 4;

    /**
     * A chain in its stored form.
     *
     * @param name the id of the chain
     * @param stored the encoded batches in order
     */
    record StoredChain(RecordChainId name, List<byte[]> stored) {

        long sizeBytes() {
            return stored.stream().mapToLong(body -> body.length).sum();
        }
    }

    static SampleRecord of(int requests, int batchRequests) {
        List<StoredChain> chains =
                List.of(
                        chain(RecordChainId.Side.ENTRY, "entry-1", requests, batchRequests),
                        chain(RecordChainId.Side.SIDECAR, "llm-1", requests, batchRequests),
                        chain(RecordChainId.Side.SIDECAR, "llm-3", requests, batchRequests));
        return new SampleRecord(chains);
    }

    long entryBytes() {
        return chains.get(0).sizeBytes();
    }

    long sidecarBytes() {
        return chains.get(1).sizeBytes() + chains.get(2).sizeBytes();
    }

    private static StoredChain chain(
            RecordChainId.Side side, String instance, int requests, int batchRequests) {
        RecordChainId name = new RecordChainId(side, instance, INCARNATION);
        List<byte[]> stored = new ArrayList<>();
        String previous = RecordBatch.NO_PREVIOUS_DIGEST;
        for (int first = 0; first < requests; first += batchRequests) {
            int end = Math.min(requests, first + batchRequests);
            List<RequestRecord> requestRecords = new ArrayList<>();
            List<RunRecord> runs = new ArrayList<>();
            for (int i = first; i < end; i++) {
                if (side == RecordChainId.Side.ENTRY) {
                    requestRecords.add(request(i));
                } else {
                    runs.add(run(instance, i));
                }
            }
            RecordBatch batch =
                    new RecordBatch(
                            name,
                            stored.size() + 1,
                            previous,
                            ENDED_EPOCH_MILLIS,
                            0,
                            end == requests,
                            requestRecords,
                            runs);
            byte[] body = RecordCodec.encode(batch);
            stored.add(body);
            previous = RecordCodec.digest(body);
        }
        return new StoredChain(name, stored);
    }

    /** Varies the values between requests as real traffic does, since compression depends on it. */
    private static RequestRecord request(int number) {
        Random random = new Random(number);
        return new RequestRecord(
                INCARNATION + "-" + number,
                ENDED_EPOCH_MILLIS + number * 9L + random.nextInt(MAXIMUM_TOOK_MILLIS),
                "deployment-" + random.nextInt(DEPLOYMENTS),
                "class-" + random.nextInt(CLASSES),
                true,
                Verdict.RAN,
                "",
                random.nextInt(MAXIMUM_TOOK_MILLIS),
                random.nextInt(MAXIMUM_TOKENS),
                List.of(attempt("llm-1", "prefill", number), attempt("llm-3", "decode", number)));
    }

    private static AttemptRecord attempt(String server, String kind, int number) {
        return new AttemptRecord(attemptId(server, number), server, kind, Verdict.RAN, "");
    }

    private static RunRecord run(String server, int number) {
        String kind = server.equals("llm-1") ? "prefill" : "decode";
        return new RunRecord(
                attemptId(server, number),
                kind,
                ENDED_EPOCH_MILLIS + number * 9L + new Random(number).nextInt(MAXIMUM_TOOK_MILLIS),
                Verdict.RAN,
                "");
    }

    private static String attemptId(String server, int number) {
        int sequence = 2 * number + (server.equals("llm-1") ? 1 : 0);
        return INCARNATION + "-" + sequence + "-0";
    }
}
