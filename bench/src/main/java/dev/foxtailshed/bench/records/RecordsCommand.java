package dev.foxtailshed.bench.records;

import dev.foxtailshed.bench.Command;
import dev.foxtailshed.kernel.record.AuditWindow;
import dev.foxtailshed.kernel.record.DecodedChain;
import dev.foxtailshed.kernel.record.RecordVerifier;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Measures the stored size of the record of requests and the time to decode and verify it. */
public final class RecordsCommand implements Command {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int REPETITIONS = 3;

    @Override
    public String word() {
        return "records";
    }

    @Override
    public String help() {
        return "measure the size of the record of requests and the time to verify it";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--requests")
                .setDefault("10000,100000,300000")
                .help("numbers of requests, separated by commas");
        parser.addArgument("--batch-requests")
                .type(Integer.class)
                .setDefault(500)
                .help("requests per batch");
    }

    @Override
    public int run(Namespace arguments) {
        int batchRequests = arguments.getInt("batch_requests");
        System.out.println(
                "| requests | stored bytes a request, entry | sidecar | decode, s | verify, s |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: |");
        for (String text : arguments.getString("requests").split(",")) {
            int requests = Integer.parseInt(text.trim());
            SampleRecord sample = SampleRecord.of(requests, batchRequests);
            for (int i = 0; i < REPETITIONS; i++) {
                measure(requests, sample);
            }
        }
        return 0;
    }

    private static void measure(int requests, SampleRecord sample) {
        long startNanos = System.nanoTime();
        List<DecodedChain> chains =
                sample.chains().stream()
                        .map(chain -> DecodedChain.of(chain.name(), chain.stored()))
                        .toList();
        long decodedNanos = System.nanoTime();
        int findings = RecordVerifier.verify(chains, AuditWindow.all(Long.MAX_VALUE)).size();
        long verifiedNanos = System.nanoTime();
        if (findings != 0) {
            throw new IllegalStateException(
                    "expected no findings in the sample record, found " + findings);
        }
        System.out.printf(
                "| %d | %.0f | %.0f | %.2f | %.2f |%n",
                requests,
                (double) sample.entryBytes() / requests,
                (double) sample.sidecarBytes() / requests,
                (decodedNanos - startNanos) / NANOS_PER_SECOND,
                (verifiedNanos - decodedNanos) / NANOS_PER_SECOND);
    }
}
