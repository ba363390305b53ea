package dev.foxtailshed.bench.overhead;

import dev.foxtailshed.bench.Command;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.InstallationBuilder;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.ProgramJar;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Measures the overhead of entry and sidecar on lookups and streams, compared with the same calls
 * sent directly to the stand-ins in the same run.
 *
 * <p>Example: <code>foxtailshed-bench overhead --rounds 5</code>. Prints tables; each figure is the
 * median of the rounds with minimum and maximum.
 */
public final class OverheadCommand implements Command {

    /** Keeps compiler threads alive, because the time of ended threads cannot be subtracted. */
    private static final String DEFAULT_JVM =
            "-XX:+UseSerialGC -Xss256k -Xmx128m -XX:-UseDynamicNumberOfCompilerThreads";

    private static final List<String> ENGINE_ARGUMENTS =
            List.of(
                    "--token-millis", "5",
                    "--request-slots", "256",
                    "--kv-pieces", "20000",
                    "--export-ttl-millis", "10000",
                    "--prefill-tokens-per-second", "1000000",
                    "--link-bytes-per-second", "1000000000");

    @Override
    public String word() {
        return "overhead";
    }

    @Override
    public String help() {
        return "measure the overhead of entry and sidecar on lookups and streams";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--rounds").type(Integer.class).setDefault(5).help("repetitions");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(3)
                .help("length of each phase with many callers");
        parser.addArgument("--callers")
                .type(Integer.class)
                .setDefault(32)
                .help("concurrent lookups");
        parser.addArgument("--streams")
                .type(Integer.class)
                .setDefault(32)
                .help("concurrent streams");
        parser.addArgument("--tokens")
                .type(Integer.class)
                .setDefault(200)
                .help("output tokens of each stream");
        parser.addArgument("--warm-up-calls")
                .type(Integer.class)
                .setDefault(150_000)
                .help("warm-up lookups, direct and through the entry each");
        parser.addArgument("--jvm").setDefault(DEFAULT_JVM).help("JVM options of all processes");
    }

    @Override
    public int run(Namespace arguments) throws IOException, InterruptedException {
        OverheadSettings settings =
                new OverheadSettings(
                        arguments.getInt("rounds"),
                        arguments.getInt("seconds"),
                        arguments.getInt("callers"),
                        arguments.getInt("streams"),
                        arguments.getInt("tokens"),
                        arguments.getInt("warm_up_calls"));
        List<String> jvmOptions = List.of(arguments.getString("jvm").split(" "));
        InstallationBuilder builder =
                Installation.builder()
                        .manifest(manifest())
                        .withoutProxies()
                        .engineArguments(ENGINE_ARGUMENTS.toArray(new String[0]))
                        .jvmOptions(jvmOptions.toArray(new String[0]));
        try (Installation site = builder.start();
                JavaProcess prefill = startDirectEngine("prefill", jvmOptions);
                JavaProcess decode = startDirectEngine("decode", jvmOptions);
                OverheadRun run = new OverheadRun(site, prefill, decode, settings)) {
            List<String> lines = run.measure();
            lines.forEach(System.out::println);
            return 0;
        } catch (ExecutionException e) {
            throw new IOException(e);
        }
    }

    /**
     * Starts an engine without a sidecar, because a sidecar would cancel requests that it did not
     * start.
     */
    private static JavaProcess startDirectEngine(String role, List<String> jvmOptions) {
        List<String> arguments = new ArrayList<>(List.of("engine", "--listen", "127.0.0.1:0"));
        arguments.addAll(List.of("--name", "direct-" + role, "--role", role));
        arguments.addAll(ENGINE_ARGUMENTS);
        return JavaProcess.start(
                "direct-" + role, ProgramJar.STANDINS, jvmOptions, Map.of(), arguments);
    }

    /**
     * Returns the manifest of the experiment, with one backend server of each kind.
     *
     * @return the JSON document
     * @throws IOException if the resource cannot be read
     */
    public static String manifest() throws IOException {
        try (InputStream stream = OverheadCommand.class.getResourceAsStream("overhead.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
