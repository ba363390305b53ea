package dev.foxtailshed.bench.load;

import dev.foxtailshed.bench.Command;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Sends the same arrivals to several routers, at the same time and on the same machine, and writes
 * tables and plots.
 */
public final class LoadCommand implements Command {

    private static final long WARM_UP_MILLIS = 5_000;
    private static final long TAIL_MILLIS = 2_000;

    @Override
    public String word() {
        return "load";
    }

    @Override
    public String help() {
        return "measure goodput and wasted prefill over load, all routers in one run";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("--out").required(true).help("output folder for tables and plots");
        parser.addArgument("--user").choices("ligustro", "cyngor").setDefault("ligustro");
        parser.addArgument("--routers").setDefault("naive,reserve-first");
        parser.addArgument("--loads").setDefault("70,100,130").help("percent of the capacity");
        parser.addArgument("--seeds").setDefault("11,12,13,14,15");
        parser.addArgument("--fault").setDefault("none").help("faults, separated by commas");
        parser.addArgument("--window-millis").type(Long.class).setDefault(10_000L);
    }

    @Override
    public int run(Namespace arguments) throws IOException, InterruptedException {
        RequestMix mix = RequestMix.named(arguments.getString("user"));
        ArrivalPlan.Phases phases =
                new ArrivalPlan.Phases(
                        WARM_UP_MILLIS, arguments.getLong("window_millis"), TAIL_MILLIS);
        List<PointKey> points = points(arguments);
        System.out.println(describe(mix, Capacity.of(mix)));
        System.out.println(PointResult.CSV_HEADER);
        List<String> routers = splitList(arguments, "routers");
        List<PointResult> results = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(routers.size());
        try {
            List<Callable<List<PointResult>>> tasks = new ArrayList<>();
            for (String router : routers) {
                tasks.add(() -> runPoints(router, mix, phases, points));
            }
            for (Future<List<PointResult>> run : threads.invokeAll(tasks)) {
                results.addAll(run.get());
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } finally {
            threads.shutdownNow();
        }
        new LoadReport(Path.of(arguments.getString("out")), mix, results).write();
        return 0;
    }

    private static List<PointResult> runPoints(
            String router, RequestMix mix, ArrivalPlan.Phases phases, List<PointKey> points)
            throws IOException, InterruptedException {
        List<PointResult> results = new ArrayList<>();
        try (LoadSite site = LoadSite.start(router, mix)) {
            for (PointKey point : points) {
                PointKey key =
                        new PointKey(router, point.fault(), point.loadPercent(), point.seed());
                PointResult result = site.run(key, mix, phases);
                System.out.println(result.csv());
                results.add(result);
            }
        }
        return results;
    }

    private static List<PointKey> points(Namespace arguments) {
        List<PointKey> points = new ArrayList<>();
        for (String fault : splitList(arguments, "fault")) {
            for (String seed : splitList(arguments, "seeds")) {
                for (String load : splitList(arguments, "loads")) {
                    points.add(
                            new PointKey(
                                    "",
                                    LoadFault.ofLabel(fault),
                                    Integer.parseInt(load),
                                    Long.parseLong(seed)));
                }
            }
        }
        return points;
    }

    private static String describe(RequestMix mix, Capacity capacity) {
        return String.format(
                "mix %s: capacity of prefill %.1f, decode %.1f model requests a second",
                mix.name(),
                capacity.prefillRequestsPerSecond(),
                capacity.decodeRequestsPerSecond());
    }

    private static List<String> splitList(Namespace arguments, String name) {
        return Arrays.asList(arguments.getString(name).split(","));
    }
}
