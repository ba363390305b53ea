package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.bench.overhead.OverheadCommand;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Measures the memory of each open token stream in entry and decode sidecar processes. */
final class OpenStreamsMeasurement implements ScalingMeasurement {

    private static final List<Integer> SIZES = List.of(0, 60, 120, 240);
    private static final int OUTPUT_TOKENS = 1_000;

    @Override
    public String word() {
        return "open-streams";
    }

    @Override
    public void measure(ScalingReport report) throws IOException, InterruptedException {
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Future<InputStream>> streams = new ArrayList<>();
        try (Installation site =
                Installation.builder()
                        .manifest(OverheadCommand.manifest())
                        .withoutProxies()
                        .engineArguments("--token-millis", "300", "--export-ttl-millis", "60000")
                        .engineArguments("--prefill-tokens-per-second", "1000000")
                        .jvmOptions(ProcessSampler.JVM_OPTIONS.toArray(new String[0]))
                        .start()) {
            for (int size : SIZES) {
                while (streams.size() < size) {
                    String prompt = "open stream " + streams.size() + " of the slopes run";
                    Completion completion =
                            new Completion("summaries", "m1", prompt, OUTPUT_TOKENS);
                    streams.add(executor.submit(() -> site.openCompletion(0, completion)));
                }
                for (Future<InputStream> stream : streams) {
                    stream.get();
                }
                ProcessSampler.addMemory(report, size, site.entry(0), "entry, ");
                ProcessSampler.addMemory(report, size, site.sidecar("d1"), "decode sidecar, ");
            }
            for (Future<InputStream> stream : streams) {
                stream.get().close();
            }
        } catch (ExecutionException e) {
            throw new IOException(e);
        } finally {
            executor.shutdownNow();
        }
        report.print("Open streams", "streams");
    }
}
