package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.bench.Command;
import dev.foxtailshed.bench.measure.ProcessGauge;
import java.io.IOException;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Measures the cost of each additional server, request, deployment and message, for
 * docs/CAPACITY.md.
 *
 * <p>Example: <code>foxtailshed-bench slopes --only codec,ledger</code>.
 */
public final class SlopesCommand implements Command {

    private static final List<ScalingMeasurement> MEASUREMENTS =
            List.of(
                    new CodecMeasurement(),
                    new LedgerMeasurement(),
                    new ManifestMeasurement(),
                    new EntryConnectionsMeasurement(),
                    new SidecarConnectionsMeasurement(),
                    new OpenStreamsMeasurement());

    @Override
    public String word() {
        return "slopes";
    }

    @Override
    public String help() {
        return "measure the cost of each additional server, request, deployment and message";
    }

    @Override
    public void declare(ArgumentParser parser) {
        String words =
                String.join(",", MEASUREMENTS.stream().map(ScalingMeasurement::word).toList());
        parser.addArgument("--only").setDefault(words).help("measurements, separated by commas");
    }

    @Override
    public int run(Namespace arguments) throws IOException, InterruptedException {
        List<String> selected = List.of(arguments.getString("only").split(","));
        ScalingReport report = new ScalingReport(System.out);
        for (ScalingMeasurement measurement : MEASUREMENTS) {
            if (selected.contains(measurement.word())) {
                report.printLine("");
                report.printLine("load average before: " + ProcessGauge.loadAverage());
                measurement.measure(report);
            }
        }
        return 0;
    }
}
